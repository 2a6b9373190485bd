package io.buckthornlever.core.request

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.request.RequestError

/** Effects requested by [RetryMachine]. */
public sealed interface RetryCommand {
    /**
     * Start another attempt after [delayNanos].
     *
     * @property exclude upstreams that must not be chosen
     * @property avoidDomains failure domains to use only if no other one has a candidate
     */
    public data class Dispatch(
        val exclude: Set<UpstreamId>,
        val avoidDomains: Set<FailureDomain>,
        val delayNanos: Long,
    ) : RetryCommand

    /** Cancel the attempt at [upstream]; another attempt was answered first. */
    public data class Cancel(
        val upstream: UpstreamId,
    ) : RetryCommand

    /** End the request with [error]. */
    public data class Fail(
        val error: RequestError,
    ) : RetryCommand
}
