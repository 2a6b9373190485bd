package io.buckthornlever.core.serving

import io.buckthornlever.api.serving.RecordedCeilings
import java.time.Duration

/**
 * Instances that share the retry budget of one service, with a store for their ceilings. It records when requests were received and
 * retries sent, so that the budget can be checked from outside.
 */
internal class RetryBudgetSimulation(
    private val count: Int,
    private val ratio: Double = 0.2,
    private val slack: Double = 54.0,
) {
    private val running = HashMap<Int, Process>()
    private val stored = HashMap<Int, RecordedCeilings>()
    private val requests = ArrayList<Long>()
    private val retries = ArrayList<Long>()
    private val waiting = ArrayList<WaitingRetry>()

    val retryCount: Int get() = retries.size

    fun isRunning(instance: Int): Boolean = instance in running

    /** Starts a process of [instance], which does not know the other instances yet. */
    fun start(
        instance: Int,
        nanos: Long,
    ) {
        val process = Process(nanos)
        process.ceilings.onRead(stored[instance] ?: RecordedCeilings(0.0))
        running[instance] = process
        record(instance, nanos)
    }

    /** Writes the ceilings of [instance] if others than the recorded ones are due. */
    fun record(
        instance: Int,
        nanos: Long,
    ) {
        val ceilings = running[instance]?.ceilings ?: return
        val next = ceilings.next(nanos) { emptyMap() } ?: return
        ceilings.onWriteStarted(next)
        stored[instance] = next
        ceilings.onWritten(next)
    }

    /** Tells the process of [instance] how many instances there are. */
    fun list(instance: Int) {
        running[instance]?.budget?.instances = count
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
        val budget = running[instance]?.budget ?: return
        requests.add(nanos)
        budget.onRequest(SERVICE, nanos)
    }

    /** Decides at [nanos] whether a request may be sent again; if so, it is sent at [sentNanos] unless its process has ended by then. */
    fun retry(
        instance: Int,
        nanos: Long,
        sentNanos: Long = nanos,
    ) {
        sendUntil(nanos)
        val process = running[instance] ?: return
        val reservation = process.budget.reserve(SERVICE, nanos) ?: return
        waiting.add(WaitingRetry(process, reservation, sentNanos))
        sendUntil(nanos)
    }

    private fun sendUntil(nanos: Long) {
        val due = waiting.filter { it.sentNanos <= nanos }.sortedBy { it.sentNanos }
        waiting.removeAll(due)
        for (retry in due.filter { it.process in running.values }) {
            retry.reservation.onSent(retry.sentNanos)
            retries.add(retry.sentNanos)
        }
    }

    /** Retries beyond the budget in the window in which there are most of them; at most 0 if the budget is kept. */
    fun largestExcess(): Double {
        sendUntil(Long.MAX_VALUE)
        return retries.maxOfOrNull(::excessFrom) ?: 0.0
    }

    private fun excessFrom(start: Long): Double {
        val window = WINDOW.toNanos()
        val counted = listOf(start, start - window / 2, start - window).maxOf { from -> requests.count { it in from..from + window } }
        return retries.count { it in start..start + window } - ratio * counted - slack
    }

    private class WaitingRetry(
        val process: Process,
        val reservation: RetryReservation,
        val sentNanos: Long,
    )

    private inner class Process(
        startNanos: Long,
    ) {
        val ceilings = QuotaCeilings(QUOTA_WINDOW, startNanos)
        val budget = ServiceRetryBudget(ratio, WINDOW, slack) { ceilings.grantableWithoutAccount(WINDOW, it) }
    }

    companion object {
        const val SERVICE = "s"
        val WINDOW: Duration = Duration.ofSeconds(10)
        val QUOTA_WINDOW: Duration = Duration.ofSeconds(8)
    }
}
