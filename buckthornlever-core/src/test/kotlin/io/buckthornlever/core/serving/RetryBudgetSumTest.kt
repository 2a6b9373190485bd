package io.buckthornlever.core.serving

import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertTrue

/** Guards against more retries from all instances together than the budget of a service allows. */
class RetryBudgetSumTest {
    @Test
    fun `instances that have not listed the others take no part of the slack`() {
        val site = RetryBudgetSimulation(INSTANCES)
        for (instance in 0 until INSTANCES) site.start(instance, 0)
        repeat(100) { for (instance in 0 until INSTANCES) site.retry(instance, 0) }
        assertTrue(site.largestExcess() <= 0, "excess ${site.largestExcess()}")
        for (instance in 0 until INSTANCES) site.list(instance)
        repeat(100) { for (instance in 0 until INSTANCES) site.retry(instance, 0) }
        assertTrue(site.largestExcess() <= 0, "excess ${site.largestExcess()}")
        assertTrue(site.retryCount >= INSTANCES, "retries ${site.retryCount}")
    }

    @Test
    fun `instances that are killed together and start again do not grant the budget once more`() {
        val site = RetryBudgetSimulation(INSTANCES)
        site.startAll(0)
        for (step in 0 until 1_000) {
            val nanos = millis(step * 20L)
            if (step == 500 || step == 700) site.killAll()
            if (step == 525 || step == 725) site.startAll(nanos)
            val instance = step % INSTANCES
            site.request(instance, nanos)
            val isFailing = step >= 450
            if (isFailing) repeat(5) { site.retry(instance, nanos) }
        }
        assertTrue(site.largestExcess() <= 0, "excess ${site.largestExcess()}")
        assertTrue(site.retryCount >= 50, "retries ${site.retryCount}")
    }

    @Test
    fun `a retry that waits for an upstream counts in the window in which it is sent`() {
        val site = RetryBudgetSimulation(1, slack = 10.0)
        site.startAll(0)
        repeat(20) { site.retry(0, 0, sentNanos = millis(9_500)) }
        repeat(20) { site.retry(0, millis(11_000)) }
        assertTrue(site.largestExcess() <= 0, "excess ${site.largestExcess()}")
        assertTrue(site.retryCount >= 3, "retries ${site.retryCount}")
    }

    private fun millis(value: Long): Long = Duration.ofMillis(value).toNanos()

    private companion object {
        const val INSTANCES = 7
    }
}
