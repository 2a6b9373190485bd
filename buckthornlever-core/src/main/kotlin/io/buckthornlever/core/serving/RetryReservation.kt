package io.buckthornlever.core.serving

/**
 * One retry reserved in a [ServiceRetryBudget]. It counts against the budget until it is released, and once it is sent for the window that
 * begins then, since a retry may wait for an upstream for seconds. Not thread-safe.
 */
public class RetryReservation internal constructor(
    private val settle: (sentNanos: Long?) -> Unit,
) {
    private var isSettled = false

    /** Records that the retry is sent at [nanos]. */
    public fun onSent(nanos: Long): Unit = settleOnce(nanos)

    /** Returns the retry to the budget unless it was sent. */
    public fun release(): Unit = settleOnce(null)

    private fun settleOnce(sentNanos: Long?) {
        if (isSettled) return
        isSettled = true
        settle(sentNanos)
    }
}
