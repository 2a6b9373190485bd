package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.QuotaUnit
import io.buckthornlever.api.serving.ServedAccount
import java.time.Duration
import java.util.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * One account of a site of 70 instances sends six times its usual load of three kinds: long streams, which are urgent, short streams and
 * calls, which are not. A third of the instances is cut off. Guards against units that lie idle at holders that answer, and against
 * refusing calls, which need next to nothing, for the sake of long streams.
 */
class QuotaMixedLoadTest {
    @Test
    fun `what the reachable holders have is used, and calls and urgent streams come before short streams`() {
        for (seed in 11L..13L) {
            val load = MixedLoad(70, 450_000.0, seed)
            load.run(Duration.ofSeconds(1))
            load.network.cutOff.addAll(load.network.names.filterIndexed { index, _ -> index % 3 == 0 })
            val reachable = load.network.names - load.network.cutOff
            load.run(Duration.ofSeconds(12), reachable)
            val used = load.network.ran(BOUNDS.window) / load.limit
            val held = load.network.heldBy(reachable)
            val served = Kind.entries.associateWith(load::served)
            println("used $used of $held, served $served, seed $seed")
            assertTrue(used >= 0.95 * held, "used $used of $held, seed $seed")
            assertTrue(served.getValue(Kind.CALL) >= 0.85, "served $served, seed $seed")
            assertTrue(served.getValue(Kind.LONG) >= 1.5 * served.getValue(Kind.SHORT), "served $served, seed $seed")
            assertTrue(load.network.maxWindowUsage() <= load.limit, "used ${load.network.maxWindowUsage()} of ${load.limit}")
        }
    }

    private class MixedLoad(
        instances: Int,
        accountRate: Double,
        seed: Long,
    ) {
        private val random = Random(seed)
        private val account = ServedAccount(AccountId("a"), setOf("k"), null, QuotaUnit.TOKENS, 1, accountRate, accountRate / 5)
        val limit = BOUNDS.limit(account)
        val network = QuotaNetwork(instances, account, BOUNDS, random)

        /** Sends six times the usual load of the account to [names]. */
        fun run(
            duration: Duration,
            names: List<String> = network.names,
        ) {
            val total = Kind.entries.sumOf { it.rate }
            val end = network.now + duration.toNanos()
            while (network.now < end) {
                var draw = random.nextDouble() * total
                val kind = Kind.entries.first { kind -> (draw - kind.rate).also { draw = it } < 0 }
                network.request(names[random.nextInt(names.size)], kind.cost(random), kind.priority, kind.maxWait)
                network.advance(Duration.ofNanos((-Math.log(1 - random.nextDouble()) * 1e9 / (6 * total)).toLong()))
            }
        }

        /** Fraction of the requests of [kind] that were charged. */
        fun served(kind: Kind): Double {
            val all = network.outcomes.filter { it.priority == kind.priority && (it.cost <= MAX_CALL) == (kind == Kind.CALL) }
            return all.count { it.isCharged }.toDouble() / all.size
        }
    }

    /** Requests of one account that has an eighth of the load of site V; [rate] is per second. */
    private enum class Kind(
        val rate: Double,
        val priority: Int,
        val maxWait: Duration,
        val cost: (Random) -> Double,
    ) {
        LONG(10.7, 0, Duration.ofMillis(127), { 5_382 + minOf(54_600.0, exponential(it, 6_610)) }),
        SHORT(40.1, 2, Duration.ofMillis(250), { 568 + minOf(6_870.0, exponential(it, 1_800)) }),
        CALL(17.8, 2, Duration.ofMillis(25), { MAX_CALL }),
    }

    private companion object {
        val BOUNDS = QuotaBounds(Duration.ofSeconds(8), 0.1, 140_000.0)
        const val MAX_CALL = 200.0

        fun exponential(
            random: Random,
            mean: Int,
        ): Double = -Math.log(1 - random.nextDouble()) * mean
    }
}
