package io.buckthornlever.core.serving

import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.serving.DutyOutcome
import io.buckthornlever.api.serving.UpstreamOrder
import java.time.Duration

/**
 * Decides when an order for upstreams is sent. Orders state the wanted number and are idempotent; one is sent when the plan changes,
 * and again while the upstreams do not appear or when some that ran are taken away. Not thread-safe.
 */
public class UpstreamOrderSchedule {
    private val sentOrders = HashMap<OrderKey, SentOrder>()

    /** Forgets the orders sent so far; those of another instance are not known to this one. */
    public fun clear(): Unit = sentOrders.clear()

    /** Records that [order] is sent at [nanos]; the result is the object to report its outcome to. */
    public fun onSent(
        order: UpstreamOrder,
        nanos: Long,
    ): SentOrder = SentOrder(order.count, nanos).also { sentOrders[OrderKey(order)] = it }

    /**
     * Returns true when [order] is to be sent.
     *
     * @param running upstreams of the ordered kind that run and have not announced that they leave
     */
    public fun isDue(
        order: UpstreamOrder,
        running: Int,
        nanos: Long,
    ): Boolean {
        val last = sentOrders[OrderKey(order)] ?: return true
        if (last.isInFlight) return false
        val elapsed = Duration.ofNanos(nanos - last.atNanos)
        if (last.outcome != DutyOutcome.ACCEPTED) return elapsed >= RETRY_AFTER_REFUSAL
        if (last.count != order.count) return elapsed >= MIN_CHANGE_INTERVAL
        if (running >= order.count) last.isFilled = true
        // Replacements of upstreams that are being taken away are ordered before those have left.
        if (last.isFilled && running < order.count) return elapsed >= MIN_CHANGE_INTERVAL
        return running != order.count && elapsed >= RETRY_WHEN_MISSING
    }

    /** An order that was sent and its outcome. */
    public class SentOrder internal constructor(
        internal val count: Int,
        internal val atNanos: Long,
    ) {
        internal var isInFlight = true
        internal var outcome = DutyOutcome.UNKNOWN

        /** True once as many upstreams as ordered were running. */
        internal var isFilled = false

        /** Records the [outcome] of the order. */
        public fun onOutcome(outcome: DutyOutcome) {
            isInFlight = false
            this.outcome = outcome
        }
    }

    private data class OrderKey(
        val service: String,
        val domain: FailureDomain,
        val reclaimable: Boolean,
    ) {
        constructor(order: UpstreamOrder) : this(order.service, order.domain, order.reclaimable)
    }

    private companion object {
        /** Longer than the lease, so that a holder whose order was refused notices first that it has been replaced. */
        val RETRY_AFTER_REFUSAL: Duration = Duration.ofMillis(3_500)

        /** Limits an oscillating plan to one order per second for each service, failure domain and reclaimability. */
        val MIN_CHANGE_INTERVAL: Duration = Duration.ofSeconds(1)

        /** Longer than an upstream's start including its cold phase, and than the delay of an order that is carried out late. */
        val RETRY_WHEN_MISSING: Duration = Duration.ofSeconds(8)
    }
}
