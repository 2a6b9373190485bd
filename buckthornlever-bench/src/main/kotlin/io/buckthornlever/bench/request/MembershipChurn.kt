package io.buckthornlever.bench.request

import io.buckthornlever.api.process.InstanceId
import java.time.Duration
import kotlin.random.Random

/**
 * Replaces entry instances and lets others be falsely taken for dead. Each instance learns of a death within nine seconds and
 * of a start within three, at its own time, so that views differ for most of the run.
 */
internal class MembershipChurn(
    private val site: SimulatedSite,
    seed: Long,
) {
    private val random = Random(seed)
    private val views = HashMap<InstanceId, MutableSet<InstanceId>>()
    private var serial = 0

    init {
        site.entries.forEach { entry -> views[entry.id] = site.entries.mapTo(HashSet()) { it.id } }
    }

    fun start() {
        site.loop.every(PERIOD, Duration.ofSeconds(30)) {
            replace()
            suspectFalsely()
        }
    }

    private fun replace() {
        val dead = site.entries.random(random)
        site.removeEntry(dead)
        site.entries.toList().forEach { other -> later(DEATH_KNOWN) { changed(other) { it.remove(dead.id) } } }
        val id = InstanceId("entry-new-${serial++}")
        val live = site.entries.map { it.id } + id
        views[id] = live.toMutableSet()
        site.entries.toList().forEach { other -> later(START_KNOWN) { changed(other) { it.add(id) } } }
        site.addEntry(id, live)
    }

    private fun suspectFalsely() {
        val observer = site.entries.random(random)
        val suspect = site.entries.filter { it !== observer }.random(random).id
        later(START_KNOWN) { changed(observer) { it.remove(suspect) } }
        site.loop.after(DEATH_KNOWN) { changed(observer) { view -> if (site.entries.any { it.id == suspect }) view.add(suspect) } }
    }

    private fun changed(
        entry: SimulatedEntry,
        change: (MutableSet<InstanceId>) -> Unit,
    ) {
        val view = views.getValue(entry.id)
        change(view)
        entry.selector.onMembersChanged(view.toList())
    }

    private fun later(
        atMost: Duration,
        action: () -> Unit,
    ) = site.loop.after(Duration.ofMillis(random.nextLong(atMost.toMillis())), action)

    private companion object {
        val PERIOD: Duration = Duration.ofSeconds(15)
        val DEATH_KNOWN: Duration = Duration.ofSeconds(9)
        val START_KNOWN: Duration = Duration.ofSeconds(3)
    }
}
