package io.buckthornlever.core.request

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class UtilisationTargetTest {
    /** Guards against step sizes that settle at another quantile than 95 of 100. */
    @Test
    fun `settles where five of a hundred first bytes miss the target`() {
        val random = Random(1)
        val target = UtilisationTarget(100)
        var misses = 0
        repeat(100_000) {
            val missed = random.nextDouble() < target.value - 0.5
            if (missed) misses++
            target.observe(if (missed) 200 else 50, 1.0)
        }
        assertTrue(misses in 4_000..6_000, "$misses misses")
    }

    @Test
    fun `does not rise while the tier is hardly used`() {
        val target = UtilisationTarget(100)
        val before = target.value
        repeat(1_000) { target.observe(50, 0.1) }
        assertEquals(before, target.value)
    }
}
