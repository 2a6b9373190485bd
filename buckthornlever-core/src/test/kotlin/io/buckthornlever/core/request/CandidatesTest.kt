package io.buckthornlever.core.request

import io.buckthornlever.core.process.RoutingSettings
import io.buckthornlever.core.process.UpstreamHealth
import io.buckthornlever.core.process.UpstreamRuntime
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import kotlin.test.assertEquals

class CandidatesTest {
    /** Guards against an order that depends on the order of the table, in which case instances would disagree. */
    @Property(seed = "32", tries = 200)
    fun `the order is that of a sort by rendezvous score`(
        @ForAll("numbers") numbers: List<Int>,
        @ForAll key: Long,
    ) {
        val known = (0..60).map { UpstreamRuntime(Fixtures.spec("u$it"), RoutingSettings(), 0) }
        numbers.forEach { if (it % 5 == 0) known[it].onHealthChanged(UpstreamHealth.DOWN) }
        val candidates = Candidates()
        numbers.forEach { candidates.add(known[it], key) }
        val inserted = numbers.distinct().take(Candidates.SLOTS)
        val expected = inserted.map { known[it] }.sortedByDescending { Hashing.combine(key, it.hash) }
        assertEquals(expected, (0 until candidates.size).map { candidates[it] })
        assertEquals(expected.count { it.isUsable }, candidates.usableCount)
    }

    @Provide
    fun numbers(): Arbitrary<List<Int>> = Arbitraries.integers().between(0, 60).list().ofMaxSize(40)
}
