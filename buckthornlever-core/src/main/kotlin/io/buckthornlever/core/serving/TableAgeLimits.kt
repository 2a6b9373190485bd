package io.buckthornlever.core.serving

import java.time.Duration

/**
 * Ages of the serving table beyond which decisions that need a newer one are not made. The age is counted from the start of
 * the call to the store whose answer confirmed the table last.
 *
 * @property keyedWork beyond it no request with a key starts, since the key may have been taken away
 * @property denial beyond it no request is refused for a missing route or key, since they may have been added
 * @property readiness beyond it the instance asks for no new connections
 */
public data class TableAgeLimits(
    val keyedWork: Duration,
    val denial: Duration,
    val readiness: Duration,
) {
    public companion object {
        /** Time reserved between the last check and the arrival of a request at its upstream. */
        private val DISPATCH_MARGIN: Duration = Duration.ofMillis(400)

        /** Part of the revocation bound after which keyed requests earn nothing. */
        private const val READY_PART = 0.6

        /** Derives the limits from the time in which a change and a revocation have to be in force. */
        public fun of(
            changeInForce: Duration,
            revocationInForce: Duration,
        ): TableAgeLimits =
            TableAgeLimits(
                keyedWork = revocationInForce.minus(DISPATCH_MARGIN),
                denial = changeInForce.minus(DISPATCH_MARGIN),
                readiness = Duration.ofMillis((revocationInForce.toMillis() * READY_PART).toLong()),
            )
    }
}
