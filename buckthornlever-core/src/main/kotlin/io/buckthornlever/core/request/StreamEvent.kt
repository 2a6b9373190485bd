package io.buckthornlever.core.request

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.request.RequestError
import io.buckthornlever.api.request.RequestId

/** What happens to a stream. */
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
     * @property chunkId identity that the chunk itself carries
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

    /** The connection of [attempt] ended without the end marker, or the upstream refused. */
    public data class Broken(
        val attempt: RequestId,
    ) : StreamEvent

    /** No upstream was available for the ordered [attempt]. */
    public data class NoCandidate(
        val attempt: RequestId,
    ) : StreamEvent

    /** Result of a probe of [upstream] on a new connection. */
    public data class Probed(
        val upstream: UpstreamId,
        val alive: Boolean,
    ) : StreamEvent

    /**
     * The end of [upstream] was announced for [endNanos].
     *
     * @property cachedTokens tokens of the context that the next upstream is expected to hold
     */
    public data class Leaving(
        val upstream: UpstreamId,
        val endNanos: Long,
        val estimate: MigrationEstimate,
        val cachedTokens: Int,
    ) : StreamEvent

    /** The KV state was exported; [handle] is null when that failed. */
    public data class KvExported(
        val handle: String?,
    ) : StreamEvent

    /** The request must not be attempted again, for example because it crashes upstreams. */
    public data class Refused(
        val error: RequestError,
    ) : StreamEvent

    /** Time passed. */
    public data object Tick : StreamEvent
}
