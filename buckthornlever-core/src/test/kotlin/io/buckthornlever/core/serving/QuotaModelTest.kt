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
 * and long random ones. Events are kills, restarts, starts that end before the store is read, partitions from peers and from the
 * store, and reassignments of shares that mistake a partitioned instance for a lost one. After each event all available units are
 * used, or only as many as need no higher ceiling.
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
            for (use in Use.entries) simulate(events, Duration.ofMillis(1_700).toNanos(), "events $events") { use }
        }
    }

    @Test
    fun `no long random sequence of events grants more than the quota`() {
        for (seed in 1L..400L) {
            val random = Random(seed)
            val events = List(60) { Event.entries[random.nextInt(Event.entries.size)] }
            val gap = Duration.ofMillis(200L + random.nextInt(9_000)).toNanos()
            simulate(events, gap, "seed $seed") { Use.entries[random.nextInt(Use.entries.size)] }
        }
    }

    private fun simulate(
        events: List<Event>,
        gapNanos: Long,
        description: String,
        use: () -> Use,
    ) {
        val simulation = QuotaSimulation(3, ACCOUNT, BOUNDS)
        var nanos = 0L
        for (event in events) {
            nanos += gapNanos
            simulation.names.forEach { simulation.readStore(it, nanos) }
            run(simulation, event, nanos)
            use(simulation, use(), nanos + gapNanos / 2)
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
            Event.RESTART_FIRST_TWICE -> {
                simulation.withoutStore.add("i0")
                restart(simulation, "i0", nanos)
                simulation.withoutStore.remove("i0")
                restart(simulation, "i0", nanos)
            }
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

    private fun use(
        simulation: QuotaSimulation,
        use: Use,
        nanos: Long,
    ) {
        for (name in simulation.names.toList()) {
            var cost = if (use == Use.ALL) LIMIT else MODEST_USE
            while (cost >= 1) {
                val isServed = simulation.serve(name, cost, nanos)
                if (use == Use.MODEST) break
                if (!isServed) cost /= 2
            }
        }
    }

    private enum class Use {
        ALL,
        MODEST,
    }

    private enum class Event {
        WAIT,
        RESTART_FIRST,
        RESTART_FIRST_TWICE,
        RESTART_ALL,
        CUT_SECOND,
        REPLACE_SECOND,
        KILL_THIRD,
        REPLACE_THIRD,
    }

    private companion object {
        const val DEPTH = 5
        const val LIMIT = 96.0

        /** Units below the initial ceiling of one of the three instances. */
        const val MODEST_USE = 15.0
        val BOUNDS = QuotaBounds(Duration.ofSeconds(8), 0.0, 0.0)
        val ACCOUNT = ServedAccount(AccountId("a"), setOf("k"), null, QuotaUnit.REQUESTS, 1, 12.0, 0.0)
    }
}
