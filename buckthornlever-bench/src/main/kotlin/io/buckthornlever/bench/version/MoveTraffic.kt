package io.buckthornlever.bench.version

import java.time.Duration
import java.util.SplittableRandom
import kotlin.math.cos
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt

/** Generated requests of one simulated move and what becomes of them, as function of route, version and use of capacity. */
internal class MoveTraffic(
    private val scenario: MoveScenario,
) {
    private val random = SplittableRandom(scenario.seed * 31 + 7)

    /** Result of one attempt; [harmed] when the new version's fault affected it. */
    class Response(
        val failed: Boolean,
        val latency: Duration,
        val harmed: Boolean,
    )

    fun nextGap(): Duration = Duration.ofNanos((-ln(1 - random.nextDouble()) / REQUESTS_PER_SECOND * NANOS).toLong())

    fun route(): Int = random.nextDouble().let { part -> ROUTE_SHARES.indices.first { part < ROUTE_SHARES.take(it + 1).sum() + ROUNDING } }

    fun instance(): Int = random.nextInt(INSTANCES)

    fun delay(): Duration = Duration.ofMillis(random.nextLong(2, 200))

    fun lost(): Boolean = random.nextInt(50) == 0

    fun respond(
        route: Int,
        new: Boolean,
        use: Double,
        elapsed: Duration,
    ): Response {
        val hit = new && affected(route, use, elapsed)
        val incident = scenario.incident?.let { elapsed in it..it.plus(INCIDENT) } == true
        val usual = random.nextDouble() < USUAL_ERRORS || incident && random.nextDouble() < INCIDENT_ERRORS
        val broken = hit && scenario.fault.fails && random.nextDouble() < scenario.faultShare
        val slow = if (hit && scenario.fault.slows) scenario.slowdown else 1.0
        val millis = MEDIAN_MILLIS[route] * exp(SIGMA * gaussian()) * (1 + use * use) * slow
        return Response(usual || broken, Duration.ofNanos((millis * 1e6).toLong()), broken || slow > 1)
    }

    private fun affected(
        route: Int,
        use: Double,
        elapsed: Duration,
    ): Boolean {
        val fault = scenario.fault
        if (!fault.bad || elapsed < scenario.faultFrom) return false
        if (fault.oneRoute && route != scenario.faultRoute) return false
        return !fault.underLoad || use >= HIGH_USE
    }

    private fun gaussian(): Double = sqrt(-2 * ln(1 - random.nextDouble())) * cos(2 * Math.PI * random.nextDouble())

    companion object {
        const val INSTANCES = 9
        const val REQUESTS_PER_SECOND = 90.0
        const val HIGH_USE = 0.5

        /** Requests per second that the upstreams of one version bear. */
        const val CAPACITY = 130.0
        private const val NANOS = 1e9
        private const val ROUNDING = 1e-9
        private const val USUAL_ERRORS = 0.004
        private const val INCIDENT_ERRORS = 0.3
        private const val SIGMA = 0.5
        private val INCIDENT = Duration.ofSeconds(15)
        private val ROUTE_SHARES = listOf(0.6, 0.3, 0.1)
        private val MEDIAN_MILLIS = listOf(15.0, 120.0, 600.0)
    }
}
