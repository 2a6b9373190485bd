package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.QuotaUnit
import io.buckthornlever.api.serving.ServedAccount
import java.time.Duration
import java.util.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * Searches for schedules in which instances together grant more than a quota: all short sequences of events on three instances,
 * and long random ones. Events are kills, restarts, partitions from peers and from the store, and reassignments of shares that
 * mistake a partitioned instance for a lost one. After each event all available units are used.
 */
class QuotaModelTest {
    @Test
    fun `no short sequence of events grants more than the quota`() {
        val choices = Event.entries
        var total = 1
        repeat(DEPTH) { total *= choices.size }
        for (code in 0 until total) {
            var rest = code
            val events = List(DEPTH) { choices[rest % choices.size].also { rest /= choices.size } }
            simulate(events, Duration.ofMillis(2_600).toNanos(), "events $events")
        }
    }

    @Test
    fun `no long random sequence of events grants more than the quota`() {
        for (seed in 1L..400L) {
            val random = Random(seed)
            val events = List(60) { Event.entries[random.nextInt(Event.entries.size)] }
            simulate(events, Duration.ofMillis(200L + random.nextInt(9_000)).toNanos(), "seed $seed")
        }
    }

    private fun simulate(
        events: List<Event>,
        gapNanos: Long,
        description: String,
    ) {
        val simulation = QuotaSimulation(3, ACCOUNT, BOUNDS)
        var nanos = 0L
        for (event in events) {
            nanos += gapNanos
            simulation.names.forEach { simulation.readStore(it, nanos) }
            run(simulation, event, nanos)
            useAll(simulation, nanos + gapNanos / 2)
        }
        assertTrue(simulation.maxWindowUsage() <= LIMIT, "granted ${simulation.maxWindowUsage()} of $LIMIT after $description")
    }

    private fun run(
        simulation: QuotaSimulation,
        event: Event,
        nanos: Long,
    ) {
        when (event) {
            Event.WAIT -> Unit
            Event.RESTART_FIRST -> restart(simulation, "i0", nanos)
            Event.RESTART_ALL -> simulation.names.toList().forEach { restart(simulation, it, nanos) }
            Event.CUT_SECOND -> {
                if (!simulation.withoutStore.remove("i1")) simulation.withoutStore.add("i1")
                if (!simulation.partitioned.remove("i1")) simulation.partitioned.add("i1")
            }
            Event.REPLACE_SECOND -> simulation.reallocate(simulation.names - "i1")
            Event.KILL_THIRD -> if ("i2" in simulation.names) simulation.kill("i2") else simulation.start("i2", nanos)
            Event.REPLACE_THIRD -> simulation.reallocate(simulation.names - "i2")
        }
    }

    private fun restart(
        simulation: QuotaSimulation,
        name: String,
        nanos: Long,
    ) {
        simulation.kill(name)
        simulation.start(name, nanos)
    }

    private fun useAll(
        simulation: QuotaSimulation,
        nanos: Long,
    ) {
        for (name in simulation.names.toList()) {
            var cost = LIMIT
            while (cost >= 1) if (!simulation.serve(name, cost, nanos)) cost /= 2
        }
    }

    private enum class Event {
        WAIT,
        RESTART_FIRST,
        RESTART_ALL,
        CUT_SECOND,
        REPLACE_SECOND,
        KILL_THIRD,
        REPLACE_THIRD,
    }

    private companion object {
        const val DEPTH = 5
        const val LIMIT = 96.0
        val BOUNDS = QuotaBounds(Duration.ofSeconds(8), 0.0, 0.0)
        val ACCOUNT = ServedAccount(AccountId("a"), setOf("k"), null, QuotaUnit.REQUESTS, 1, 12.0, 0.0)
    }
}
