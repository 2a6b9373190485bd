package io.buckthornlever.core.serving

/**
 * Shares of the requests of one kind that an overloaded service has room for.
 *
 * @property now share that is sent at once
 * @property afterWait share that is sent at the latest when a longer wait would make it late; the others are refused
 * @property obstacle why the other requests are delayed or refused
 */
public data class AdmissionShares(
    val now: Double,
    val afterWait: Double,
    val obstacle: AdmissionObstacle,
) {
    public companion object {
        /** There is room for all requests. */
        public val ALL: AdmissionShares = AdmissionShares(1.0, 1.0, AdmissionObstacle.LESS_URGENT)
    }
}
