package io.buckthornlever.core.serving

import java.time.Duration

/**
 * Maximum ages of the serving table for decisions that depend on a recent one. The age counts from the start of the latest
 * call to the shared store that confirmed the table.
 *
 * @property keyedRequests older: no request with a key starts, since the key may have been revoked
 * @property denial older: no request is refused for a missing route or key, since they may have been added
 * @property readiness older: the instance is not ready and gets no new connections
 */
public data class TableAgeLimits(
    val keyedRequests: Duration,
    val denial: Duration,
    val readiness: Duration,
) {
    public companion object {
        /** Time reserved for a request to reach its upstream after the last check of the table's age. */
        private val DISPATCH_MARGIN: Duration = Duration.ofMillis(400)

        /** Fraction of the maximum revocation delay beyond which keyed requests earn no credit. */
        private const val READINESS_FRACTION = 0.6

        /** Derives the limits from the longest delays after which a change and a revocation must be in force. */
        public fun of(
            maxChangeDelay: Duration,
            maxRevocationDelay: Duration,
        ): TableAgeLimits =
            TableAgeLimits(
                keyedRequests = maxRevocationDelay.minus(DISPATCH_MARGIN),
                denial = maxChangeDelay.minus(DISPATCH_MARGIN),
                readiness = Duration.ofMillis((maxRevocationDelay.toMillis() * READINESS_FRACTION).toLong()),
            )
    }
}
