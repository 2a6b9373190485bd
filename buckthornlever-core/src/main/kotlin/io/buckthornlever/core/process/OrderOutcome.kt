package io.buckthornlever.core.process

import java.time.Duration

/** Outcome of one attempt to send an order. */
public sealed interface OrderOutcome {
    /** The order was carried out, now or by an earlier call with the same request id. */
    public data object Done : OrderOutcome

    /** The receiver cannot carry out the order, for example for lack of capacity. */
    public data object Refused : OrderOutcome

    /** It is unknown whether the order was carried out. */
    public data object Unknown : OrderOutcome

    /** The weight store rejects calls for another [retryAfter], because its call budget is used up. */
    public data class RateLimited(
        val retryAfter: Duration,
    ) : OrderOutcome
}
