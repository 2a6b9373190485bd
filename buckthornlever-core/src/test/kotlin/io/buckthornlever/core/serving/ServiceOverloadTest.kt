package io.buckthornlever.core.serving

import io.buckthornlever.api.serving.RequestKind
import io.buckthornlever.api.serving.ServedRoute
import io.buckthornlever.api.serving.ServingTable
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against a level that outlives its cause, oscillates, starves a kind, or holds back more urgent requests first. */
class ServiceOverloadTest {
    private val long = route("long", 0, 1_000)
    private val short = route("short", 2, 2_000)
    private val overload = ServiceOverload(table(long, short), "s")

    @Test
    fun `only services with engines and routes of different priority have a level`() {
        assertTrue(overload.isApplicable)
        assertFalse(ServiceOverload(table(long, short.copy(priority = 0)), "s").isApplicable)
        val plain = table(long, short).let { table -> table.copy(services = table.services.map { it.copy(engine = false) }) }
        assertFalse(ServiceOverload(plain, "s").isApplicable)
    }

    @Test
    fun `there is room for all while the wait is short for the urgent route`() {
        overload.update(load(300))
        assertEquals(AdmissionShares.ALL, overload.shares(short, 2))
    }

    @Test
    fun `the share of the less urgent falls with the wait and that of the urgent ones only after it`() {
        var before = 1.0
        for (wait in 0L..3_000L step 20) {
            overload.update(load(wait))
            val lower = overload.shares(short, 2)
            val upper = overload.shares(long, 0)
            assertTrue(lower.now <= before && lower.now <= lower.afterWait, "$wait $lower")
            assertTrue(lower.afterWait <= FLOOR || upper.now == 1.0, "$wait: $upper while $lower")
            before = lower.now
        }
        assertEquals(FLOOR, before, 1e-9)
    }

    @Test
    fun `a request of an account with the highest priority is as urgent as the urgent route`() {
        overload.update(load(600))
        assertTrue(overload.shares(short, 2).now < 0.5)
        assertEquals(1.0, overload.shares(short, 0).now)
    }

    @Test
    fun `the level is left at a shorter wait than it is entered at`() {
        val engaged = listOf(350L, 370L, 350L, 290L, 270L, 350L).map { wait -> overload.run { update(load(wait)).let { isEngaged } } }
        assertEquals(listOf(false, true, true, true, false, false), engaged)
    }

    @Test
    fun `old figures count less and after two seconds not at all`() {
        val shares =
            listOf(0L, 1_000L, 1_500L, 1_900L, 2_000L, 60_000L).map { age ->
                overload.update(load(900, Duration.ofMillis(age)))
                overload.shares(short, 2).now
            }
        assertEquals(listOf(0.1, 0.1, 0.55, 0.91, 1.0, 1.0), shares.map { Math.round(it * 100) / 100.0 })
    }

    @Test
    fun `without a figure nothing is held back`() {
        overload.update(load(900, null))
        assertEquals(AdmissionShares.ALL, overload.shares(short, 2))
    }

    @Test
    fun `absurd figures leave the floor`() {
        overload.update(load(Long.MAX_VALUE / 2_000_000))
        assertEquals(FLOOR, overload.shares(short, 2).now, 1e-9)
        overload.update(load(-5_000))
        assertEquals(1.0, overload.shares(short, 2).now)
    }

    @Test
    fun `the wait that a route bears is what its own work leaves of its target latency`() {
        repeat(200) { overload.onStarted(long, Duration.ofMillis(500), 10) }
        overload.update(load(300))
        assertTrue(overload.shares(short, 2).now < 1.0)
        assertEquals(500.0, overload.workTime(long).toMillis().toDouble(), 1.0)
        repeat(200) { overload.onStarted(long, Duration.ofDays(1), 10) }
        assertEquals(600L, overload.workTime(long).toMillis())
    }

    @Test
    fun `a new table keeps what was learned of its routes`() {
        repeat(200) { overload.onStarted(long, Duration.ofMillis(500), 10) }
        overload.updateTable(table(long.copy(targetLatency = Duration.ofMillis(1_200)), short))
        assertEquals(500.0, overload.workTime(long).toMillis().toDouble(), 1.0)
        overload.updateTable(table(short))
        assertEquals(200L, overload.workTime(long).toMillis())
        assertFalse(overload.isApplicable)
    }

    @Test
    fun `the time of the output is known after some runs`() {
        repeat(19) { overload.onCompleted() }
        assertFalse(overload.knowsOutputTime)
        overload.onCompleted()
        assertTrue(overload.knowsOutputTime)
    }

    private fun load(
        waitMillis: Long,
        age: Duration? = Duration.ofMillis(400),
    ): ServiceLoad = ServiceLoad(Duration.ofMillis(waitMillis), age)

    private companion object {
        const val FLOOR = 0.1

        fun route(
            name: String,
            priority: Int,
            targetMillis: Long,
        ): ServedRoute =
            ServingFixtures.route(RequestKind.STREAM).copy(
                name = name,
                priority = priority,
                targetLatency = Duration.ofMillis(targetMillis),
            )

        fun table(vararg routes: ServedRoute): ServingTable = ServingFixtures.table().copy(routes = routes.toList())
    }
}
