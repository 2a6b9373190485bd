package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.QuotaUnit
import io.buckthornlever.api.serving.ServedAccount
import java.time.Duration
import java.util.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * Searches for schedules in which instances together grant more than a quota: every short sequence of events on three instances,
 * and long random ones. Events are full use of all free room, kills, restarts, cuts from peers and from the store, and changes of
 * holders that mistake a cut instance for a lost one.
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
            play(events, Duration.ofMillis(2_600).toNanos(), "events $events")
        }
    }

    @Test
    fun `no long random sequence of events grants more than the quota`() {
        for (seed in 1L..400L) {
            val random = Random(seed)
            val events = List(60) { Event.entries[random.nextInt(Event.entries.size)] }
            play(events, Duration.ofMillis(200L + random.nextInt(9_000)).toNanos(), "seed $seed")
        }
    }

    private fun play(
        events: List<Event>,
        gapNanos: Long,
        what: String,
    ) {
        val fleet = QuotaSimulation(3, ACCOUNT, BOUNDS)
        var nanos = 0L
        for (event in events) {
            nanos += gapNanos
            fleet.names.forEach { fleet.readStore(it, nanos) }
            run(fleet, event, nanos)
            useAll(fleet, nanos + gapNanos / 2)
        }
        assertTrue(fleet.maxWindowUsage() <= LIMIT, "granted ${fleet.maxWindowUsage()} of $LIMIT after $what")
    }

    private fun run(
        fleet: QuotaSimulation,
        event: Event,
        nanos: Long,
    ) {
        when (event) {
            Event.WAIT -> Unit
            Event.RESTART_FIRST -> restart(fleet, "i0", nanos)
            Event.RESTART_ALL -> fleet.names.toList().forEach { restart(fleet, it, nanos) }
            Event.CUT_SECOND -> {
                if (!fleet.withoutStore.remove("i1")) fleet.withoutStore.add("i1")
                if (!fleet.partitioned.remove("i1")) fleet.partitioned.add("i1")
            }
            Event.REPLACE_SECOND -> fleet.plan(fleet.names - "i1")
            Event.KILL_THIRD -> if ("i2" in fleet.names) fleet.kill("i2") else fleet.start("i2", nanos)
            Event.REPLACE_THIRD -> fleet.plan(fleet.names - "i2")
        }
    }

    private fun restart(
        fleet: QuotaSimulation,
        name: String,
        nanos: Long,
    ) {
        fleet.kill(name)
        fleet.start(name, nanos)
    }

    private fun useAll(
        fleet: QuotaSimulation,
        nanos: Long,
    ) {
        for (name in fleet.names.toList()) {
            var cost = LIMIT
            while (cost >= 1) if (!fleet.serve(name, cost, nanos)) cost /= 2
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
