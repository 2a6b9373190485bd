package io.buckthornlever.core.request

import io.buckthornlever.core.process.RoutingSettings
import io.buckthornlever.core.process.UpstreamHealth
import io.buckthornlever.core.process.UpstreamRuntime
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class PriceTierTest {
    /** Guards against sums that drift from the members and against missing the only usable member of a large tier. */
    @Property(seed = "42", tries = 100)
    fun `sums and usable members agree with a scan`(
        @ForAll @IntRange(min = 1, max = 60) size: Int,
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val members = Array(size) { UpstreamRuntime(Fixtures.spec("u$it"), RoutingSettings(), 0) }
        val tier = tier(members)
        val candidates = Candidates()
        repeat(80) {
            val member = members.random(random)
            if (random.nextBoolean()) member.onCallStarted(it.toLong()) else member.onHealthChanged(UpstreamHealth.entries.random(random))
            val usable = members.filter { m -> m.isUsable }
            assertEquals(usable.size, tier.usableCount)
            val expected = if (usable.isEmpty()) 1.0 else usable.sumOf { m -> m.load }.toDouble() / usable.sumOf { m -> m.capacity }
            assertEquals(expected, tier.utilisation)
            tier.candidates(random.nextLong(), candidates)
            assertTrue(usable.isEmpty() || candidates.usableCount > 0)
        }
    }

    /** Guards against a ring that gives a few upstreams much more than their part of the keys, or moves keys without need. */
    @Test
    fun `keys are spread evenly and move only away from an upstream that is out`() {
        val members = Array(100) { UpstreamRuntime(Fixtures.spec("u$it"), RoutingSettings(), 0) }
        val tier = tier(members)
        val before = (1L..20_000L).map { first(tier, Hashing.mix(it)) }
        val counts = before.groupingBy { it }.eachCount()
        assertEquals(100, counts.size)
        assertTrue(counts.values.max() < 400, "${counts.values.max()} keys of 200 on average")
        members[7].onHealthChanged(UpstreamHealth.DOWN)
        val after = (1L..20_000L).map { first(tier, Hashing.mix(it)) }
        val moved = before.indices.count { before[it] != after[it] && before[it] !== members[7] }
        assertTrue(moved < 400, "$moved keys moved although their upstream is unchanged")
    }

    private fun first(
        tier: PriceTier,
        key: Long,
    ): UpstreamRuntime {
        val candidates = Candidates()
        tier.candidates(key, candidates)
        return (0 until candidates.size).map { candidates[it] }.first { it.isUsable }
    }

    private fun tier(members: Array<UpstreamRuntime>): PriceTier {
        val tier = PriceTier(1.0, members, UtilisationTarget(1))
        members.forEachIndexed { index, member ->
            member.memberships = listOf(tier.Membership(index))
            member.memberships.forEach { it.update() }
        }
        return tier
    }
}
