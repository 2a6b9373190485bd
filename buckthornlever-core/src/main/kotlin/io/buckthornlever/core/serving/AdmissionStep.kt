package io.buckthornlever.core.serving

import java.time.Duration

/** Decision on a request that is to be sent to an upstream. */
public sealed interface AdmissionStep {
    /** The request may be sent. */
    public data object Admit : AdmissionStep

    /** The request waits; the decision is due again at [recheckNanos] at the latest. */
    public data class Hold(
        val recheckNanos: Long,
    ) : AdmissionStep

    /**
     * The request is refused.
     *
     * @property retryAfter time after which the caller may return with a prospect of being served; null without a prospect
     */
    public data class Refuse(
        val obstacle: AdmissionObstacle,
        val retryAfter: Duration?,
    ) : AdmissionStep
}
