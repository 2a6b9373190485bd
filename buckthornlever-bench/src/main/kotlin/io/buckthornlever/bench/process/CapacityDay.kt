package io.buckthornlever.bench.process

import io.buckthornlever.api.process.CloudInstanceKind
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.core.process.InstanceOffer
import io.buckthornlever.core.process.OfferKey
import java.util.SplittableRandom
import kotlin.math.PI
import kotlin.math.cos
import kotlin.math.exp

/** Generated events of one day in steps of [STEP_SECONDS]: load, prices, reclaim waves, outages of the store and lease changes. */
internal class CapacityDay(
    seed: Long,
) {
    private val random = SplittableRandom(seed)
    private val noise = walk(0.1, 0.02)
    private val priceWalks = DOMAINS.associateWith { walk(0.35, 0.03) }
    private val waves = List(WAVES) { random.nextInt(300, STEPS) to DOMAINS[random.nextInt(DOMAINS.size)] }
    private val outages = List(2) { random.nextInt(STEPS) }
    private val holderChanges = List(12) { random.nextInt(STEPS) }.toSet()

    /** Requests at once in step [step]: low at night, high in the afternoon, with noise. */
    fun load(step: Int): Double {
        val daily = 70 - 40 * cos(2 * PI * step / STEPS)
        return daily * exp(noise[step])
    }

    fun offers(step: Int): List<InstanceOffer> =
        DOMAINS.flatMap { domain ->
            CLASSES.flatMap { (machine, capacity, price) ->
                val reclaimable = price * RECLAIMABLE_FACTOR * exp(priceWalks.getValue(domain)[step])
                listOf(
                    InstanceOffer(OfferKey(domain, machine, CloudInstanceKind.ON_DEMAND), capacity, price),
                    InstanceOffer(OfferKey(domain, machine, CloudInstanceKind.RECLAIMABLE), capacity, reclaimable.coerceAtMost(price)),
                )
            }
        }

    fun wave(step: Int): FailureDomain? = waves.firstOrNull { it.first == step }?.second

    /** Whether starts of reclaimable instances in [domain] are refused, as for half an hour after a wave. */
    fun scarce(
        step: Int,
        domain: FailureDomain,
    ): Boolean = waves.any { (at, where) -> where == domain && step in at..at + SCARCE_STEPS }

    fun storeDown(step: Int): Boolean = outages.any { step in it..it + OUTAGE_STEPS }

    fun holderChanges(step: Int): Boolean = step in holderChanges

    private fun walk(
        limit: Double,
        change: Double,
    ): DoubleArray {
        var value = 0.0
        return DoubleArray(STEPS) {
            value = (value + random.nextDouble(-change, change)).coerceIn(-limit, limit)
            value
        }
    }

    companion object {
        const val STEP_SECONDS = 10L
        const val STEPS = 8_640
        val DOMAINS: List<FailureDomain> = listOf("d0", "d1", "d2").map { FailureDomain(it) }
        private const val WAVES = 6
        private const val SCARCE_STEPS = 180
        private const val OUTAGE_STEPS = 60

        /** Usual price of a reclaimable instance relative to on-demand; varies between 0.25 and 0.5 by domain and hour. */
        private const val RECLAIMABLE_FACTOR = 0.35
        private val CLASSES = listOf(Triple("small", 4, 1.0), Triple("large", 10, 2.3))
    }
}
