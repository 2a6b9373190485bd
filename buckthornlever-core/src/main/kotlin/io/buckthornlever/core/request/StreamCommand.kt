package io.buckthornlever.core.request

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.request.RequestError
import io.buckthornlever.api.request.RequestId

/** Effects that [StreamMachine] asks for. */
public sealed interface StreamCommand {
    /**
     * Send an attempt on a new connection after [delayNanos].
     *
     * @property resumeTokens tokens received so far; the upstream continues after them
     * @property preferredUpstream upstream that holds the context, if it may be used
     * @property avoidedUpstreams upstreams to choose only when no other is available
     */
    public data class Open(
        val attempt: RequestId,
        val resumeTokens: List<String>,
        val kvHandle: String?,
        val preferredUpstream: UpstreamId?,
        val avoidedUpstreams: Set<UpstreamId>,
        val delayNanos: Long,
    ) : StreamCommand

    /** Send the token at [index] to the caller. */
    public data class Relay(
        val index: Int,
        val text: String,
    ) : StreamCommand

    /** Send the end marker to the caller. */
    public data object Complete : StreamCommand

    /** Close the connection of [attempt] and cancel it at its upstream. */
    public data class Cancel(
        val attempt: RequestId,
    ) : StreamCommand

    /** Probe [upstream] on a new connection. */
    public data class Probe(
        val upstream: UpstreamId,
    ) : StreamCommand

    /** Report [upstream] as not answering: a connection was silent and a probe failed too. */
    public data class ReportDead(
        val upstream: UpstreamId,
    ) : StreamCommand

    /** Export the KV state of [attempt]. */
    public data class ExportKv(
        val attempt: RequestId,
    ) : StreamCommand

    /** End the stream with [error]. */
    public data class Fail(
        val error: RequestError,
    ) : StreamCommand
}
