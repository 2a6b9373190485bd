package io.buckthornlever.core.process

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.constraints.IntRange
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class AdaptiveLimitTest {
    @Test
    fun `a burst of refusals shrinks the limit once`() {
        val limit = AdaptiveLimit(10)
        repeat(5) { limit.onRefused(0) }
        assertEquals(7, limit.current)
    }

    @Test
    fun `answers much later than usual shrink the limit, usual ones let it recover`() {
        val limit = AdaptiveLimit(10)
        repeat(100) { limit.onAnswered(100, 10, it.toLong()) }
        assertEquals(10, limit.current)
        repeat(30) { limit.onAnswered(2_000, 10, it * SECOND) }
        val shrunk = limit.current
        assertTrue(shrunk < 10)
        repeat(400) { limit.onAnswered(100, shrunk, (100 + it) * SECOND) }
        assertTrue(limit.current > shrunk)
    }

    /** Guards against a limit of zero, at which no request would be sent and no recovery observed. */
    @Property(seed = "22", tries = 200)
    fun `stays between one and the maximum`(
        @ForAll @IntRange(min = 0, max = 40) maximum: Int,
        @ForAll("latencies") latencies: List<Int>,
    ) {
        val limit = AdaptiveLimit(maximum)
        latencies.forEachIndexed { index, latency ->
            val now = index * SECOND
            if (latency < 0) limit.onRefused(now) else limit.onAnswered(latency.toLong(), limit.current, now)
            assertTrue(limit.current in 1..maxOf(1, maximum))
        }
    }

    @Provide
    fun latencies(): Arbitrary<List<Int>> = Arbitraries.integers().between(-1, 5_000).list().ofMaxSize(100)

    private companion object {
        const val SECOND = 1_000_000_000L
    }
}
