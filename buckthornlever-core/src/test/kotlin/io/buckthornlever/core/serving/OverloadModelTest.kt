package io.buckthornlever.core.serving

import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against overload in which requests that cost callers least to delay are served before those that cost most: long streams late
 * while short ones are on time, quiet accounts late beside a hot one, and requests that are refused long after the cause is over.
 */
class OverloadModelTest {
    @Test
    fun `in a burst the urgent kind is on time and every kind and account is served`() {
        for (site in SITES) {
            val off = burst(site, isOn = false).run(SECONDS)
            val on = burst(site, isOn = true).run(SECONDS)
            val disturbed = { call: OverloadCall -> call.arrivedMillis in BURST }
            assertTrue(on.onTime { disturbed(it) && it.route === on.long } >= 0.9, on.report())
            assertTrue(on.onTime { disturbed(it) && it.route === on.long } >= off.onTime { disturbed(it) && it.route === off.long } + 0.1)
            assertEveryoneServed(on, disturbed)
        }
    }

    @Test
    fun `two seconds after a burst all requests are served on time`() {
        for (site in SITES) {
            val after = burst(site, isOn = true).run(SECONDS)
            val calls = after.calls.filter { it.arrivedMillis > BURST.last + 2_000 }
            assertEquals(0, calls.count { it.refusedMillis != null || it.attempts > 1 }, after.report())
            assertTrue(after.onTime { it.arrivedMillis > BURST.last + 2_000 } >= 0.99, after.report())
        }
    }

    @Test
    fun `nothing changes while there is room`() {
        for (site in SITES) {
            val outcomes =
                listOf(false, true).map { isOn ->
                    val calm = OverloadSimulation(site, isOn, SEED)
                    calm.tellsPriority = true
                    calm.run(8)
                    calm.calls.map { Triple(it.arrivedMillis, it.firstMillis, it.attempts) }
                }
            assertEquals(outcomes[0], outcomes[1])
        }
    }

    @Test
    fun `a quiet account keeps its service beside hot ones`() {
        for (site in SITES) {
            val (unfair, fair) =
                listOf(false, true).map { isFair ->
                    val simulation = burst(site, isOn = true)
                    simulation.tellsAccounts = isFair
                    simulation.run(SECONDS)
                    simulation.onTime {
                        it.arrivedMillis in 5_000L..BURST.last && it.account.value !in HOT && it.route === simulation.short
                    }
                }
            assertTrue(fair >= unfair + 0.05, "on time $unfair without and $fair with the figures of accounts")
        }
    }

    @Test
    fun `without new figures nothing is refused after two seconds`() {
        val site = OverloadSite.V
        val cut = burst(site, isOn = true)
        cut.getsFigures = { _, millis -> millis < 6_000 }
        cut.run(SECONDS)
        assertTrue(cut.calls.any { it.refusedMillis != null && it.arrivedMillis < 6_000 }, cut.report())
        assertEquals(0, cut.calls.count { (it.refusedMillis ?: 0) > 8_100 }, cut.report())
    }

    @Test
    fun `an instance that is cut off serves as without admission and the others keep the urgent kind on time`() {
        val part = burst(OverloadSite.V, isOn = true)
        part.getsFigures = { instance, _ -> instance % 10 != 0 }
        part.run(SECONDS)
        assertTrue(part.onTime { it.arrivedMillis in BURST && it.route === part.long } >= 0.85, part.report())
    }

    @Test
    fun `half of the instances return empty in a burst and the urgent kind stays on time`() {
        val restarted = burst(OverloadSite.V, isOn = true)
        restarted.onMillis = { millis -> if (millis == 6_000L) repeat(OverloadSite.V.instances / 2) { restarted.restart(it) } }
        restarted.run(SECONDS)
        assertTrue(restarted.onTime { it.arrivedMillis in BURST && it.route === restarted.long } >= 0.9, restarted.report())
        assertEveryoneServed(restarted) { it.arrivedMillis in BURST }
    }

    @Test
    fun `absurd figures cost no kind more than its floor and end with their cause`() {
        for (wait in listOf(Duration.ofDays(1_000), Duration.ofSeconds(-5))) {
            val absurd = OverloadSimulation(OverloadSite.V, isOn = true, SEED)
            absurd.statedWait = { millis, known -> if (millis in 3_000L..5_000L) wait else known }
            absurd.run(SECONDS)
            assertTrue(absurd.served { it.arrivedMillis in 3_000L..5_000L && it.route === absurd.short } >= 0.08, absurd.report())
            assertTrue(absurd.onTime { it.arrivedMillis > 7_000 } >= 0.99, absurd.report())
        }
    }

    /** No kind and no account is served less than a quarter as often as the mean, and none less often than a less urgent kind. */
    private fun assertEveryoneServed(
        simulation: OverloadSimulation,
        among: (OverloadCall) -> Boolean,
    ) {
        val mean = simulation.served(among)
        for ((account, calls) in simulation.calls.filter(among).groupBy { it.account }) {
            assertTrue(calls.count { it.isServed } >= calls.size * mean / 4, "$account ${simulation.report()}")
        }
        val long = simulation.served { among(it) && it.route === simulation.long }
        val short = simulation.served { among(it) && it.route === simulation.short }
        assertTrue(long >= short - 0.05 && short >= mean / 4, simulation.report())
    }

    private companion object {
        const val SEED = 7L
        const val SECONDS = 16
        val SITES = listOf(OverloadSite.V, OverloadSite.S)
        val HOT = setOf("a0", "a5")
        val BURST = 3_000L..10_000L

        /** Bursts of both kinds, two hot accounts, and a third of the engines gone, all together. */
        fun burst(
            site: OverloadSite,
            isOn: Boolean,
        ): OverloadSimulation {
            val simulation = OverloadSimulation(site, isOn, SEED)
            simulation.enginesAt = { if (it in 3_000L..9_000L) site.engines * 2 / 3 else site.engines }
            simulation.loadFactor = { route, account, millis ->
                val burst = if (millis in 3_000L..9_000L) BURST_FACTORS.getValue(route) else 1.0
                burst * (if (millis in 4_000L..BURST.last && "a$account" in HOT) 5.0 else 1.0)
            }
            return simulation
        }

        val BURST_FACTORS = mapOf("long" to 1.7, "short" to 2.3)
    }
}
