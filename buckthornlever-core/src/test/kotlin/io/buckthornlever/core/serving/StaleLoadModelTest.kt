package io.buckthornlever.core.serving

import org.junit.jupiter.api.Tag
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertTrue

/** Guards against instances that go on refusing after a peak since they keep what upstreams said of their load in it. */
@Tag("known-red")
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

    private companion object {
        const val SEEDS = 20L
        const val INSTANCES = 66
        const val UPSTREAMS = 4

        /** Somewhat over a quarter of what the upstreams can run. */
        const val NORMAL_PER_SECOND = 110.0

        /** Somewhat more than the upstreams can run. */
        const val PEAK_PER_SECOND = 500.0
        const val MAX_REFUSED_SHARE = 0.01
    }
}
