package io.buckthornlever.core.request

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.constraints.IntRange
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class VersionSharesTest {
    /** Guards against a popular prefix that gives an unproven version more than its share. */
    @Property(seed = "31", tries = 200)
    fun `no version gets more than its share plus one request`(
        @ForAll("weights") weights: List<Double>,
        @ForAll @IntRange(min = 1, max = 8) keys: Int,
    ) {
        var shares = VersionShares(weights.toDoubleArray())
        val counts = IntArray(weights.size)
        for (n in 1..300) {
            val chosen = shares.choose(Hashing.mix((n % keys).toLong()))
            if (chosen < 0) return assertEquals(0.0, weights.sum())
            shares.charge(chosen)
            counts[chosen]++
            counts.indices.forEach { assertTrue(counts[it] <= shares.share(it) * n + 1 + 1e-9, "version $it: ${counts[it]} of $n") }
            if (n % 50 == 0) shares = shares.reweighted(weights.toDoubleArray())
        }
    }

    @Test
    fun `a version without weight is never chosen`() {
        val shares = VersionShares(doubleArrayOf(1.0, 0.0))
        repeat(100) {
            assertEquals(0, shares.choose(it.toLong()))
            shares.charge(0)
        }
    }

    @Provide
    fun weights(): Arbitrary<List<Double>> = Arbitraries.doubles().between(0.0, 1.0).list().ofMinSize(1).ofMaxSize(4)
}
