package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.QuotaUnit
import io.buckthornlever.api.serving.ServedAccount
import java.time.Duration
import java.util.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Simulates an account that requests several times its quota from all instances at once. Guards against instances that all grant
 * the same units when they become available, and against granting less than the quota.
 */
class QuotaBurstTest {
    @Test
    fun `a burst at nine instances stays within the tolerance`() {
        val simulation = simulate(9, partitioned = emptySet())
        assertTrue(simulation.maxWindowUsage() <= ALLOWED, "used ${simulation.maxWindowUsage()} of $ALLOWED")
    }

    @Test
    fun `a burst stays within the tolerance while instances are partitioned`() {
        val simulation = simulate(9, partitioned = setOf("i0", "i1", "i2"))
        assertTrue(simulation.maxWindowUsage() <= ALLOWED, "used ${simulation.maxWindowUsage()} of $ALLOWED")
    }

    @Test
    fun `an account gets its full quota in a burst at any number of instances`() {
        for (instances in listOf(1, 9, 95)) {
            val simulation = simulate(instances, partitioned = emptySet())
            val last = simulation.granted(STEPS * STEP.toNanos() - BOUNDS.window.toNanos(), STEPS * STEP.toNanos())
            assertTrue(last >= QUOTA, "used $last of the quota $QUOTA at $instances instances")
        }
    }

    @Test
    fun `an account that requests most of its quota is hardly ever refused`() {
        for (instances in listOf(9, 95)) {
            val random = Random(3)
            val simulation = QuotaSimulation(instances, ACCOUNT, BOUNDS)
            var refused = 0
            for (step in 0 until STEPS) {
                if (step % 100 == 0) simulation.names.forEach { simulation.readStore(it, step * STEP.toNanos()) }
                val cost = cost(random)
                // Nine tenths of the quota.
                if (random.nextDouble() > 0.9 * ACCOUNT.ratePerSecond * STEP.toMillis() / 1_000 / (MEAN_EXTRA_COST + MIN_COST)) continue
                if (!simulation.serve("i${random.nextInt(instances)}", cost, step * STEP.toNanos())) refused++
            }
            assertTrue(refused <= STEPS / 100, "refused $refused at $instances instances")
        }
    }

    @Test
    fun `instances that are all killed at once do not grant the quota twice in one window`() {
        val simulation = QuotaSimulation(9, ACCOUNT, BOUNDS)
        val random = Random(5)
        burst(simulation, random, 0, 500)
        simulation.names.toList().forEach(simulation::kill)
        repeat(9) { simulation.start("i$it", 500 * STEP.toNanos()) }
        burst(simulation, random, 500, 2_000)
        assertTrue(simulation.maxWindowUsage() <= ALLOWED, "used ${simulation.maxWindowUsage()} of $ALLOWED")
    }

    @Test
    fun `an account with large requests is still served after all instances were killed in its burst`() {
        val simulation = QuotaSimulation(9, ACCOUNT, BOUNDS)
        // Half of the quota, in requests that need most of one share each.
        for (second in 0L until 5) {
            val at = Duration.ofSeconds(second).toNanos()
            val attempts = generateSequence { simulation.serve("i$second", LARGE_COST, at) }.take(MAX_ROUNDS)
            assertTrue(attempts.any { it }, "not served in second $second")
        }
        simulation.names.toList().forEach(simulation::kill)
        val restart = Duration.ofSeconds(5)
        repeat(9) { simulation.start("i$it", restart.toNanos()) }
        val served = (0 until 30).count {
            simulation.serve("i${it % 9}", MIN_COST + MEAN_EXTRA_COST, restart.plusMillis(it * 30L).toNanos())
        }
        assertEquals(30, served)
        assertTrue(simulation.maxWindowUsage() <= ALLOWED, "used ${simulation.maxWindowUsage()} of $ALLOWED")
    }

    @Test
    fun `an instance that is killed four times within a window grants its shares once`() {
        val simulation = QuotaSimulation(9, ACCOUNT, BOUNDS)
        for (kill in 0L until 4) {
            val at = Duration.ofSeconds(kill).toNanos()
            while (simulation.serve("i0", MIN_COST, at)) Unit
            simulation.kill("i0")
            simulation.start("i0", at + Duration.ofMillis(500).toNanos())
        }
        assertTrue(simulation.maxWindowUsage() <= ALLOWED, "used ${simulation.maxWindowUsage()} of $ALLOWED")
    }

    @Test
    fun `a normal load is still served after all instances were killed`() {
        val simulation = QuotaSimulation(9, ACCOUNT, BOUNDS)
        simulation.names.toList().forEach(simulation::kill)
        repeat(9) { simulation.start("i$it", 0) }
        val random = Random(5)
        var refused = 0
        for (step in 0 until 800) {
            // Two fifths of the quota.
            if (random.nextDouble() > 0.4 * ACCOUNT.ratePerSecond * STEP.toMillis() / 1_000 / (MEAN_EXTRA_COST + MIN_COST)) continue
            if (!simulation.serve("i${random.nextInt(9)}", cost(random), step * STEP.toNanos())) refused++
        }
        assertTrue(refused <= 2, "refused $refused")
    }

    private fun simulate(
        instances: Int,
        partitioned: Set<String>,
    ): QuotaSimulation {
        val simulation = QuotaSimulation(instances, ACCOUNT, BOUNDS)
        simulation.partitioned.addAll(partitioned)
        burst(simulation, Random(7), 0, STEPS)
        return simulation
    }

    private fun burst(
        simulation: QuotaSimulation,
        random: Random,
        from: Int,
        to: Int,
    ) {
        val names = simulation.names.toList()
        for (step in from until to) {
            if (step % 100 == 0) names.forEach { simulation.readStore(it, step * STEP.toNanos()) }
            for (name in names) {
                if (random.nextDouble() <= REQUEST_PROBABILITY * 9 / names.size) simulation.serve(name, cost(random), step * STEP.toNanos())
            }
        }
    }

    private fun cost(random: Random): Double = MIN_COST - Math.log(1 - random.nextDouble()) * MEAN_EXTRA_COST

    private companion object {
        val BOUNDS = QuotaBounds(Duration.ofSeconds(8), 0.1, 140_000.0)
        val ACCOUNT = ServedAccount(AccountId("a"), setOf("k"), null, QuotaUnit.TOKENS, 1, 90_000.0, 18_000.0)
        const val QUOTA = 90_000.0 * 8
        const val ALLOWED = (QUOTA + 18_000) * 1.1 + 140_000
        val STEP: Duration = Duration.ofMillis(10)
        const val STEPS = 3_000

        /** Probability that one of nine instances gets a request in a step; all together request several times the quota. */
        const val REQUEST_PROBABILITY = 0.12
        const val MIN_COST = 400.0
        const val LARGE_COST = 85_000.0
        const val MAX_ROUNDS = 4
        const val MEAN_EXTRA_COST = 5_000.0
    }
}
