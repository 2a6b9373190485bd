package io.buckthornlever.core.serving

import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertTrue

/** Guards against instances that go on refusing after a peak since they keep what upstreams said of their load in it. */
class StaleLoadModelTest {
    @Test
    fun `instances use idle upstreams again after a peak has filled all slots`() {
        for (seed in 1L..SEEDS) {
            val simulation = PlacementSimulation(INSTANCES, UPSTREAMS, seed)
            simulation.play(NORMAL_PER_SECOND, Duration.ofSeconds(10))
            simulation.play(PEAK_PER_SECOND, Duration.ofSeconds(4))
            simulation.play(NORMAL_PER_SECOND, Duration.ofSeconds(3))
            val after = simulation.play(NORMAL_PER_SECOND, Duration.ofSeconds(20))
            val refused = after.count { it != PlacementOutcome.SERVED }
            assertTrue(
                refused <= after.size * MAX_REFUSED_SHARE,
                "seed $seed: $refused of ${after.size} requests refused, ${(simulation.utilisation * 100).toInt()}% of the slots taken",
            )
        }
    }

    @Test
    fun `upstreams are kept busy at twice their capacity`() {
        for (seed in 1L..SEEDS) {
            val simulation = PlacementSimulation(INSTANCES, UPSTREAMS, seed)
            simulation.play(2 * CAPACITY_PER_SECOND, Duration.ofSeconds(5))
            val served = simulation.play(2 * CAPACITY_PER_SECOND, Duration.ofSeconds(10)).count { it == PlacementOutcome.SERVED }
            val capacity = CAPACITY_PER_SECOND * 10
            assertTrue(
                served >= capacity * MIN_GOODPUT,
                "seed $seed: $served requests served of ${capacity.toInt()} that the upstreams can run",
            )
        }
    }

    private companion object {
        const val SEEDS = 20L
        const val INSTANCES = 66
        const val UPSTREAMS = 4

        /** Somewhat over a quarter of what the upstreams can run. */
        const val NORMAL_PER_SECOND = 110.0

        /** Somewhat more than the upstreams can run. */
        const val PEAK_PER_SECOND = 500.0
        const val MAX_REFUSED_SHARE = 0.01
        const val CAPACITY_PER_SECOND = UPSTREAMS * PlacementSimulation.SLOTS * 1_000 / PlacementSimulation.MEAN_WORK_MILLIS
        const val MIN_GOODPUT = 0.9
    }
}
