package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.QuotaUnit
import io.buckthornlever.api.serving.ServedAccount
import java.time.Duration
import java.util.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * Searches for schedules in which requests that ran exceed a quota: credit that is spent by two instances or after it has been lent
 * again, that outlives a restart of its holder, or that is returned twice.
 */
class QuotaNetworkModelTest {
    @Test
    fun `no sequence of faults has more units run in a window than the quota`() {
        for (seed in FIRST_SEED until FIRST_SEED + SEEDS) {
            val random = Random(seed)
            val network = QuotaNetwork(3 + random.nextInt(5), ACCOUNT, BOUNDS, random)
            network.lossRate = random.nextInt(3) * 0.1
            network.duplicateRate = random.nextInt(3) * 0.2
            network.lateRate = random.nextInt(3) * 0.1
            network.unrunRate = random.nextInt(3) * 0.2
            repeat(STEPS) {
                fault(network, random)
                // Demand moves between instances within a second.
                val names = network.names.shuffled(random).take(1 + random.nextInt(3))
                repeat(random.nextInt(60)) {
                    network.request(names[random.nextInt(names.size)], 1.0 + random.nextInt(8), random.nextInt(3))
                    network.advance(Duration.ofMillis(random.nextInt(15).toLong()))
                }
                network.advance(Duration.ofMillis(random.nextInt(600).toLong()))
            }
            assertTrue(network.maxWindowUsage() <= LIMIT + ROUNDING, "${network.maxWindowUsage()} of $LIMIT units ran with seed $seed")
        }
    }

    private fun fault(
        network: QuotaNetwork,
        random: Random,
    ) {
        val name = network.names[random.nextInt(network.names.size)]
        val faults =
            listOf<() -> Unit>(
                { network.kill(name) },
                { network.names.forEach(network::start) },
                { restart(network, listOf(name)) },
                { restart(network, network.names) },
                { network.freeze(name, Duration.ofMillis(random.nextInt(10_000).toLong())) },
                { network.suspend(name, Duration.ofMillis(250L + random.nextInt(10_000))) },
                { if (!network.cutOff.remove(name)) network.cutOff.add(name) },
                { network.cutOff.clear() },
                { network.isStoreAway = !network.isStoreAway },
                { network.isStoreAway = false },
                { network.reallocate(network.names.filter { network.isRunning(it) && it !in network.cutOff }) },
                { network.reallocate(network.names - name) },
                network::backUp,
                network::restore,
                {},
                {},
            )
        faults[random.nextInt(faults.size)]()
    }

    private fun restart(
        network: QuotaNetwork,
        names: List<String>,
    ) {
        for (name in names) {
            network.kill(name)
            network.start(name)
        }
    }

    private companion object {
        val FIRST_SEED: Long = java.lang.Long.getLong("quota.seed", 1L)
        val SEEDS: Long = java.lang.Long.getLong("quota.seeds", 300L)
        const val STEPS = 25
        const val LIMIT = 240.0
        const val ROUNDING = 1e-3
        val BOUNDS = QuotaBounds(Duration.ofSeconds(8), 0.0, 0.0)
        val ACCOUNT = ServedAccount(AccountId("a"), setOf("k"), null, QuotaUnit.REQUESTS, 1, 30.0, 0.0)
    }
}
