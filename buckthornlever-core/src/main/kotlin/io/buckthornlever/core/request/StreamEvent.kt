package io.buckthornlever.core.request

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.request.RequestError
import io.buckthornlever.api.request.RequestId

/** Events of a stream. */
public sealed interface StreamEvent {
    /** The request was admitted. */
    public data object Begin : StreamEvent

    /** Attempt [attempt] was sent to [upstream]. */
    public data class Opened(
        val attempt: RequestId,
        val upstream: UpstreamId,
    ) : StreamEvent

    /**
     * A chunk arrived on the connection of [attempt].
     *
     * @property chunkId attempt identifier carried by the chunk itself; a mismatch with [attempt] fails the attempt
     */
    public data class Chunk(
        val attempt: RequestId,
        val chunkId: RequestId,
        val index: Int,
        val text: String,
    ) : StreamEvent

    /** The end marker arrived on the connection of [attempt]. */
    public data class Finished(
        val attempt: RequestId,
    ) : StreamEvent

    /** The connection of [attempt] ended without the end marker, or the upstream refused the attempt. */
    public data class Broken(
        val attempt: RequestId,
    ) : StreamEvent

    /** No upstream was available for [attempt]. */
    public data class NoCandidate(
        val attempt: RequestId,
    ) : StreamEvent

    /** Result of a probe of [upstream] on a new connection. */
    public data class Probed(
        val upstream: UpstreamId,
        val alive: Boolean,
    ) : StreamEvent

    /**
     * [upstream] was announced to shut down at [endNanos].
     *
     * @property cachedTokens tokens of the context that the next upstream is expected to have cached
     */
    public data class Leaving(
        val upstream: UpstreamId,
        val endNanos: Long,
        val estimate: MigrationEstimate,
        val cachedTokens: Int,
    ) : StreamEvent

    /** The export of the KV state ended; [handle] is null if it failed. */
    public data class KvExported(
        val handle: String?,
    ) : StreamEvent

    /** The request must not be attempted again, for example because it crashes upstreams. */
    public data class Refused(
        val error: RequestError,
    ) : StreamEvent

    /** Periodic timer; deadlines and timeouts are checked. */
    public data object Tick : StreamEvent
}
