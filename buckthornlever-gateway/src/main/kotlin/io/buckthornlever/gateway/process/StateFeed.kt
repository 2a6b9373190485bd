package io.buckthornlever.gateway.process

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.serving.StateChange
import io.buckthornlever.api.serving.StateFailure
import io.buckthornlever.api.serving.StateKind
import io.buckthornlever.api.serving.StateObject
import io.buckthornlever.api.serving.StatePage
import io.buckthornlever.api.serving.StateStore
import io.netty.channel.EventLoop
import java.time.Duration
import java.util.concurrent.ThreadLocalRandom
import java.util.concurrent.TimeUnit

/**
 * Follows all objects of one kind: a listing first, then watches from its revision on. A listing is taken again when the store
 * has forgotten the history; objects that are missing from it count as deleted.
 *
 * @param wait longest time that one watch waits; a connection that has gone silent is noticed that much later
 */
internal class StateFeed(
    private val kind: StateKind,
    private val wait: Duration,
    private val store: StateStore,
    private val loop: EventLoop,
    private val clock: Clock,
    private val listener: StateFeedListener,
) {
    private val known = HashMap<String, Long>()
    private val seen = HashSet<String>()
    private var listRevision = 0L
    private var failures = 0

    fun start(): Unit = list(null)

    private fun list(after: String?) {
        val sent = clock.monotonicNanos()
        if (after == null) seen.clear()
        store.list(kind, after, false) { result ->
            result.onSuccess { listed(it, after, sent) }
            result.onFailure { failed(it) { list(null) } }
        }
    }

    private fun listed(
        page: StatePage,
        after: String?,
        sent: Long,
    ) {
        answered(sent)
        // Changes made between two pages come again from the watch, so it starts at the first page's revision.
        if (after == null) listRevision = page.revision
        for (item in page.objects) {
            seen.add(item.name)
            apply(item)
        }
        if (page.more && page.objects.isNotEmpty()) return list(page.objects.last().name)
        // What a relay listed may be older than what the store told directly.
        for (name in known.filter { (name, revision) -> name !in seen && revision <= listRevision }.keys) remove(name)
        listener.synchronised(page.asOfNanos ?: sent, listRevision)
        watch(listRevision)
    }

    private fun watch(since: Long) {
        val sent = clock.monotonicNanos()
        store.watch(kind, since, wait) { result ->
            result.onSuccess { changes ->
                answered(sent)
                changes.changes.forEach(::apply)
                listener.synchronised(changes.asOfNanos ?: sent, changes.revision)
                // Changes often come in series; the pause gathers them in one answer.
                if (changes.changes.isEmpty()) {
                    watch(changes.revision)
                } else {
                    loop.schedule({ watch(changes.revision) }, GATHER_MILLIS, TimeUnit.MILLISECONDS)
                }
            }
            result.onFailure { failure ->
                if (failure == StateFailure.HistoryGone) listener.historyGone(kind)
                failed(failure) { if (failure == StateFailure.HistoryGone) list(null) else watch(since) }
            }
        }
    }

    private fun apply(change: StateChange) {
        if (!change.deleted) return apply(change.changed)
        val name = change.changed.name
        if ((known[name] ?: Long.MIN_VALUE) <= change.changed.revision) remove(name)
    }

    private fun apply(item: StateObject) {
        if ((known[item.name] ?: Long.MIN_VALUE) >= item.revision) return
        known[item.name] = item.revision
        listener.changed(kind, item)
    }

    private fun remove(name: String) {
        listener.tombstone(kind, name)
        if (known.remove(name) != null) listener.deleted(kind, name)
    }

    private fun answered(sent: Long) {
        failures = 0
        listener.answered(kind, sent)
    }

    private fun failed(
        failure: StateFailure,
        again: () -> Unit,
    ) {
        failures++
        listener.failed(kind, failure)
        val longest = minOf(FIRST_PAUSE_MILLIS shl minOf(failures - 1, MAX_DOUBLINGS), LONGEST_PAUSE_MILLIS)
        val pause = longest / 2 + ThreadLocalRandom.current().nextLong(longest / 2 + 1)
        loop.schedule(again, pause, TimeUnit.MILLISECONDS)
    }

    private companion object {
        /** Pause after the first failure; doubles with each further one. */
        const val FIRST_PAUSE_MILLIS = 40L

        /** Short beside all bounds on the time in which a change has to be in force. */
        const val GATHER_MILLIS = 120L
        const val MAX_DOUBLINGS = 4

        /** Short enough for changes to be in force in time after an outage of the store. */
        const val LONGEST_PAUSE_MILLIS = 400L
    }
}
