package io.buckthornlever.core.serving

import java.time.Duration
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/** Guards against an order of starts, kills and late sends in which all instances together exceed the retry budget of a service. */
class RetryBudgetModelTest {
    @Test
    fun `no sequence of kills and starts leads beyond the budget`() {
        val retries = (0 until SEEDS).sumOf { seed -> play(Random(seed)).also { site -> check(seed, site) }.retryCount }
        assertTrue(retries > SEEDS, "retries $retries")
    }

    private fun check(
        seed: Int,
        site: RetryBudgetSimulation,
    ) = assertTrue(site.largestExcess() <= 0, "seed $seed: ${site.largestExcess()} retries beyond the budget")

    private fun play(random: Random): RetryBudgetSimulation {
        val count = random.nextInt(1, 10)
        val site = RetryBudgetSimulation(count, slack = random.nextDouble(10.0, 80.0))
        site.startAll(0)
        val failingFrom = random.nextInt(STEPS / 2)
        val longestWait = Duration.ofMillis(random.nextLong(7_500)).toNanos()
        val killProbability = random.nextDouble(0.002)
        for (step in 0 until STEPS) {
            val nanos = STEP.multipliedBy(step.toLong()).toNanos()
            if (random.nextDouble() < killProbability) site.killAll()
            val instance = random.nextInt(count)
            if (random.nextDouble() < killProbability) site.kill(instance)
            if (!site.isRunning(instance) && random.nextDouble() < RESTART_PROBABILITY) site.start(instance, nanos)
            if (random.nextDouble() < LISTING_PROBABILITY) site.list(instance)
            site.record(instance, nanos)
            site.request(instance, nanos)
            if (step >= failingFrom) repeat(3) { site.retry(instance, nanos, nanos + random.nextLong(longestWait + 1)) }
        }
        return site
    }

    private companion object {
        const val SEEDS = 200
        const val STEPS = 2_000
        const val RESTART_PROBABILITY = 0.05
        const val LISTING_PROBABILITY = 0.2
        val STEP: Duration = Duration.ofMillis(20)
    }
}
