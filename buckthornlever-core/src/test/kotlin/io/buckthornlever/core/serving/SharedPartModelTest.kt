package io.buckthornlever.core.serving

import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertTrue

/** Guards against shared prompt parts that many upstreams read at the same time because instances choose by different or old figures. */
class SharedPartModelTest {
    @Test
    fun `parts are seldom read again on a site with 70 instances`() = check(SITE_V)

    @Test
    fun `parts are seldom read again on a site with 132 instances and uneven upstreams`() = check(SITE_S)

    // Without messages, instances differ in what they know of the load, but not in the owners of a part.
    @Test
    fun `parts are seldom read again while instances share no figures`() = check(SITE_S.copy(overviewInterval = null))

    @Test
    fun `parts are seldom read again after half of the instances have returned with empty memory`() {
        val simulation = EngineSimulation(SITE_V, 1)
        simulation.play(Duration.ofSeconds(12))
        simulation.gateways.drop(SITE_V.instances / 2).forEach { it.restart() }
        check(simulation)
    }

    private fun check(options: EngineSimulation.Options) {
        val simulation = EngineSimulation(options, 1)
        simulation.play(Duration.ofSeconds(12))
        check(simulation)
    }

    private fun check(simulation: EngineSimulation) {
        simulation.play(Duration.ofSeconds(20), 1.7)
        val share = simulation.partsReadAgain.toDouble() / simulation.streamsSent
        assertTrue(share <= MAX_READ_AGAIN, "${simulation.partsReadAgain} parts read again for ${simulation.streamsSent} streams")
    }

    private companion object {
        val SITE_V = EngineSimulation.Options(70, 63, 64, 85.7, 321.0, Duration.ofMillis(350), Duration.ofMillis(350))
        val SITE_S =
            EngineSimulation.Options(132, 78, 24, 77.9, 307.0, Duration.ofMillis(660), Duration.ofMillis(660), 0.15, checks = true)

        /** With two owners and no margin, 0.07 to 0.12 of the streams led to parts that were read again. */
        const val MAX_READ_AGAIN = 0.04
    }
}
