package io.buckthornlever.core.serving

import java.time.Duration

/**
 * Instances that share the retry budget of one service. It records when requests were received and retries sent, so that the budget can
 * be checked from outside.
 */
internal class RetryBudgetSimulation(
    private val count: Int,
    private val ratio: Double = 0.2,
    private val slack: Double = 54.0,
) {
    private val running = HashMap<Int, ServiceRetryBudget>()
    private val requests = ArrayList<Long>()
    private val retries = ArrayList<Long>()

    val retryCount: Int get() = retries.size

    fun isRunning(instance: Int): Boolean = instance in running

    /** Starts a process of [instance], which does not know the other instances yet. */
    fun start(
        instance: Int,
        nanos: Long,
    ) {
        running[instance] = ServiceRetryBudget(ratio, WINDOW, slack)
    }

    /** Tells the process of [instance] how many instances there are. */
    fun list(instance: Int) {
        running[instance]?.instances = count
    }

    fun startAll(nanos: Long) {
        for (instance in 0 until count) {
            start(instance, nanos)
            list(instance)
        }
    }

    fun killAll(): Unit = running.clear()

    fun kill(instance: Int) {
        running.remove(instance)
    }

    fun request(
        instance: Int,
        nanos: Long,
    ) {
        val budget = running[instance] ?: return
        requests.add(nanos)
        budget.onRequest(SERVICE, nanos)
    }

    /** Decides at [nanos] whether a request may be sent again; if so, it is sent at [sentNanos]. */
    fun retry(
        instance: Int,
        nanos: Long,
        sentNanos: Long = nanos,
    ) {
        if (running[instance]?.tryAcquire(SERVICE, nanos) == true) retries.add(sentNanos)
    }

    /** Retries beyond the budget in the window in which there are most of them; at most 0 if the budget is kept. */
    fun largestExcess(): Double = retries.maxOfOrNull(::excessFrom) ?: 0.0

    private fun excessFrom(start: Long): Double {
        val window = WINDOW.toNanos()
        val counted = listOf(start, start - window / 2, start - window).maxOf { from -> requests.count { it in from..from + window } }
        return retries.count { it in start..start + window } - ratio * counted - slack
    }

    companion object {
        const val SERVICE = "s"
        val WINDOW: Duration = Duration.ofSeconds(10)
    }
}
