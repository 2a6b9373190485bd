package io.buckthornlever.gateway.process

import org.junit.jupiter.api.Tag
import java.time.Duration
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * Guards against calls to the store that grow with the number of instances, in normal operation and while the relay or the store
 * fails, and against a serving table that becomes too old for requests with a key meanwhile.
 */
class RelaySiteTest {
    @Test
    fun `in normal operation only the relay asks the store`() = check("normal", CALM_CALLS) { }

    @Test
    fun `followers of a relay that paused do not all turn to the store`() = check("paused", FAULT_CALLS) { it.first().freeze(1_300) }

    // Listed in KNOWN-RED.txt.
    @Test
    @Tag("known-red")
    fun `followers that lost the relay for a moment do not ask the store until they return to it`() =
        check("unreachable", CALM_CALLS) { instances ->
            val some = instances.filterIndexed { index, _ -> index % 2 == 0 && index > 0 }
            some.forEach { it.isRelayUnreachable = true }
            some.first().loop.schedule({ some.forEach { it.isRelayUnreachable = false } }, 1, TimeUnit.SECONDS)
        }

    @Test
    fun `followers of a killed relay do not all turn to the store`() = check("killed", FAULT_CALLS) { it.first().kill() }

    @Test
    fun `followers of a frozen relay do not all turn to the store`() = check("frozen", FAULT_CALLS) { it.first().freeze(6_000) }

    @Test
    fun `followers of a relay that is cut off from the store do not all turn to it`() =
        check("cut off", FAULT_CALLS) { it.first().isCutOff = true }

    @Test
    fun `while the store is unavailable each instance asks it about once a second, and none once the relay has it again`() =
        RelaySite(SIZE).use { site ->
            site.run(START_MILLIS)
            site.isStoreAway = true
            val during = site.run(OUTAGE_MILLIS)
            site.isStoreAway = false
            site.run(START_MILLIS)
            val after = site.run(RUN_MILLIS)
            println(
                "store away: ${perMinute(during, OUTAGE_MILLIS)}, after it ${perMinute(after, RUN_MILLIS)} calls per instance and minute",
            )
            assertTrue((during - "i0" - "i1").values.all { it <= OUTAGE_MILLIS / 1_000 + 1 }, "during the outage: $during")
            assertTrue(perMinute(after - "i0" - "i1", RUN_MILLIS) <= CALM_CALLS, "after the outage: $after")
        }

    /** Checks the calls of the followers, per instance and minute, in the seconds after [disturb]. */
    private fun check(
        name: String,
        maxCalls: Double,
        disturb: (List<RelaySite.SiteInstance>) -> Unit,
    ) = RelaySite(SIZE).use { site ->
        site.run(START_MILLIS)
        disturb(site.instances)
        site.instances.forEach { it.resetAge() }
        val calls = site.run(RUN_MILLIS)
        val followers = site.instances.drop(1)
        val age = followers.maxOf { it.maxAge }
        println("$name: ${perMinute(calls, RUN_MILLIS)} calls per instance and minute, oldest table ${age.toMillis()} ms, $calls")
        println("$name, last instance: ${followers.last().summary()}")
        // The instance that takes over as the relay asks the store for the others.
        val others = calls - "i0" - "i1"
        assertTrue(perMinute(others, RUN_MILLIS) <= maxCalls, "calls: $calls")
        assertTrue(age < TABLE_AGE_LIMIT, "the table was $age old")
    }

    private fun perMinute(
        calls: Map<String, Long>,
        millis: Long,
    ): Double = calls.values.sum() * MILLIS_PER_MINUTE / millis / calls.size

    private companion object {
        const val SIZE = 12
        const val START_MILLIS = 2_500L
        const val RUN_MILLIS = 8_000L
        const val OUTAGE_MILLIS = 4_000L
        const val MILLIS_PER_MINUTE = 60_000.0

        /** A follower calls the store for nothing but a rare fault of the connection to its relay. */
        const val CALM_CALLS = 4.0

        /** One call of a follower for each kind with a tight bound, and some for the others. */
        const val FAULT_CALLS = 20.0

        /** Age beyond which no request with a key starts. */
        val TABLE_AGE_LIMIT: Duration = Duration.ofMillis(4_600)
    }
}
