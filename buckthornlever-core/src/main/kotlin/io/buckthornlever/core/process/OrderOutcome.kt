package io.buckthornlever.core.process

import java.time.Duration

/** What became of a call that carried an order. */
public sealed interface OrderOutcome {
    /** The order was carried out, now or by an earlier call with the same request id. */
    public data object Done : OrderOutcome

    /** The receiver cannot carry it out, for example for lack of capacity. */
    public data object Refused : OrderOutcome

    /** It is unknown whether the order was carried out. */
    public data object Unknown : OrderOutcome

    /** The weight store has no call budget left for [retryAfter]. */
    public data class RateLimited(
        val retryAfter: Duration,
    ) : OrderOutcome
}
