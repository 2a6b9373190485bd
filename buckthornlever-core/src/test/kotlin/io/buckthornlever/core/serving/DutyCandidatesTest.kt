package io.buckthornlever.core.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class DutyCandidatesTest {
    @Test
    fun `a site of any size has three candidates and a small one only candidates`() {
        for (count in listOf(1, 3, 9, 95, 1_200)) {
            val names = List(count) { "front-$it" }
            assertEquals(minOf(3, count), names.count { LeaseCandidates.includes(it, names - it) }, "$count instances")
        }
    }

    @Test
    fun `another instance takes the place of a candidate that is gone`() {
        val names = List(9) { "front-$it" }
        val gone = names.first { LeaseCandidates.includes(it, names - it) }
        val left = names - gone
        assertTrue(left.count { LeaseCandidates.includes(it, left - it) } == 3)
    }
}
