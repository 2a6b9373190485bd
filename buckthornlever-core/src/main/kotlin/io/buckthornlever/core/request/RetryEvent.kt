package io.buckthornlever.core.request

import io.buckthornlever.api.connection.UpstreamError
import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.FailureDomain

/** Events of the attempts of one request. */
public sealed interface RetryEvent {
    /** An attempt was sent to [upstream]. */
    public data class Started(
        val upstream: UpstreamId,
    ) : RetryEvent

    /** The attempt at [upstream] ended without a response. */
    public data class Failed(
        val upstream: UpstreamId,
        val domain: FailureDomain,
        val error: UpstreamError,
    ) : RetryEvent

    /** The response head arrived from [upstream]. */
    public data class Answered(
        val upstream: UpstreamId,
    ) : RetryEvent

    /** The hedge delay passed without a response. */
    public data object HedgeDue : RetryEvent

    /** No upstream is available for a requested attempt. */
    public data object NoCandidate : RetryEvent
}
