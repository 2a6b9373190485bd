package io.buckthornlever.bench.version

import java.time.Duration
import java.util.SplittableRandom

/**
 * Generated conditions of one simulated move.
 *
 * @property faultShare share of affected attempts that fail
 * @property slowdown factor on the latency of affected attempts
 * @property faultFrom when the fault starts, after the start of the move
 * @property faultRoute index of the affected route, when only one is
 * @property storeDown start and end of an outage of the object store, after the start of the move
 * @property holderChange when the lease holder is lost, after the start of the move
 * @property incident start of a fault of 15 s that hits both versions, after the start of the move; null for none
 */
internal data class MoveScenario(
    val seed: Long,
    val fault: MoveFault,
    val duration: Duration,
    val faultShare: Double,
    val slowdown: Double,
    val faultFrom: Duration,
    val faultRoute: Int,
    val storeDown: ClosedRange<Duration>?,
    val holderChange: Duration?,
    val incident: Duration?,
) {
    companion object {
        const val ROUTES = 3
        const val BAD_SHARE_PERCENT = 5

        fun generate(
            seed: Long,
            fault: MoveFault,
        ): MoveScenario {
            val random = SplittableRandom(seed)
            val duration = Duration.ofSeconds(random.nextLong(180, 480))
            return MoveScenario(
                seed = seed,
                fault = fault,
                duration = duration,
                faultShare = random.nextDouble(0.2, 1.0),
                slowdown = random.nextDouble(2.5, 6.0),
                faultFrom = if (fault.later) portion(duration, random.nextDouble(0.2, 0.85)) else Duration.ZERO,
                faultRoute = random.nextInt(ROUTES),
                storeDown = outage(random, fault, duration),
                holderChange = if (random.nextInt(2) == 0) portion(duration, random.nextDouble(0.1, 0.95)) else null,
                // At a share of 100% nothing is left to compare with, so the incident comes before the last growth.
                incident = if (random.nextInt(3) == 0) portion(duration, random.nextDouble(0.1, 0.5)) else null,
            )
        }

        /** A bad version meets an outage that begins early or late and lasts to the end; a good one meets a short outage. */
        private fun outage(
            random: SplittableRandom,
            fault: MoveFault,
            duration: Duration,
        ): ClosedRange<Duration>? {
            val kind = random.nextInt(3)
            val from = portion(duration, random.nextDouble(0.1, 0.9))
            val length = Duration.ofSeconds(random.nextLong(5, 20))
            if (kind != 0) return null
            return if (fault.bad) from..duration.multipliedBy(2) else from..from.plus(length)
        }

        private fun portion(
            duration: Duration,
            part: Double,
        ): Duration = Duration.ofMillis((duration.toMillis() * part).toLong())
    }
}
