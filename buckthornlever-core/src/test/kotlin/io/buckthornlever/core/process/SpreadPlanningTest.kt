package io.buckthornlever.core.process

import io.buckthornlever.api.process.CloudInstanceKind
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.PoolName
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.LongRange
import java.util.SplittableRandom
import kotlin.test.assertTrue

internal class SpreadPlanningTest {
    private fun offers(
        random: SplittableRandom,
        domains: Int,
    ): List<InstanceOffer> =
        (0 until domains).flatMap { domain ->
            listOf("small" to 4, "large" to 10).flatMap { (machine, capacity) ->
                CloudInstanceKind.entries.map { kind ->
                    val price = capacity * random.nextDouble(0.2, 1.0)
                    InstanceOffer(OfferKey(FailureDomain("d$domain"), machine, kind), capacity, price)
                }
            }
        }

    @Property(tries = 300, seed = "31")
    fun `the loss of any domain leaves the required capacity and a wave of reclaims leaves the on-demand share`(
        @ForAll @LongRange(min = 0, max = 1_000_000) seed: Long,
    ) {
        val random = SplittableRandom(seed)
        val offers = offers(random, random.nextInt(2, 7))
        val demand = CapacityDemand(PoolName("p"), random.nextInt(1, 300), onDemandShare = 0.2)
        val capacity = offers.associate { it.key to it.capacity }
        val plan = SpreadPlanner().plan(demand, offers, emptyMap())
        plan.keys.map { it.failureDomain }.distinct().forEach { lost ->
            val left = plan.filterKeys { it.failureDomain != lost }.entries.sumOf { it.value * capacity.getValue(it.key) }
            assertTrue(left >= demand.required, "$left of ${demand.required} left without $lost")
        }
        val onDemand = plan.filterKeys { it.kind == CloudInstanceKind.ON_DEMAND }.entries.sumOf { it.value * capacity.getValue(it.key) }
        assertTrue(onDemand >= demand.required * 0.2, "$onDemand on demand for ${demand.required}")
    }

    @Property(tries = 100, seed = "32")
    fun `a plan with one machine class is not dearer than the cheapest even spread found by trying all sets of domains`(
        @ForAll @LongRange(min = 0, max = 1_000_000) seed: Long,
    ) {
        val random = SplittableRandom(seed)
        val offers =
            List(5) { InstanceOffer(OfferKey(FailureDomain("d$it"), "m", CloudInstanceKind.ON_DEMAND), 1, random.nextDouble(0.2, 1.0)) }
        val required = random.nextInt(1, 200)
        val plan = SpreadPlanner().plan(CapacityDemand(PoolName("p"), required), offers, emptyMap())
        val cost = offers.sumOf { (plan[it.key] ?: 0) * it.pricePerHour }
        val cheapest =
            (0 until 32).map { bits -> offers.filterIndexed { i, _ -> bits shr i and 1 == 1 } }.filter { it.size >= 3 }.minOf { chosen ->
                chosen.sumOf { it.pricePerHour * ((required + chosen.size - 2) / (chosen.size - 1)) }
            }
        assertTrue(cost <= cheapest + 1e-9, "$cost against $cheapest")
    }
}
