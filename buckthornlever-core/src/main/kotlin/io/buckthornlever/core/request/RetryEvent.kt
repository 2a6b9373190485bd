package io.buckthornlever.core.request

import io.buckthornlever.api.connection.UpstreamError
import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.FailureDomain

/** What happens to the attempts of one request. */
public sealed interface RetryEvent {
    /** An attempt was sent to [upstream]. */
    public data class Started(
        val upstream: UpstreamId,
    ) : RetryEvent

    /** The attempt at [upstream] ended without an answer. */
    public data class Failed(
        val upstream: UpstreamId,
        val domain: FailureDomain,
        val error: UpstreamError,
    ) : RetryEvent

    /** The head of an answer arrived from [upstream]. */
    public data class Answered(
        val upstream: UpstreamId,
    ) : RetryEvent

    /** The hedge delay passed without an answer. */
    public data object HedgeDue : RetryEvent

    /** No upstream is available for an ordered attempt. */
    public data object NoCandidate : RetryEvent
}
