package io.buckthornlever.core.request

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.request.RequestId
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * State of one stream from its first attempt to its end.
 *
 * @property tokens texts of all tokens received so far, in order from index 0
 * @property relayIndex index of the first token that the caller does not have yet
 * @property attempts number of the current attempt; attempts without an available upstream are not counted
 * @property upstream upstream of the current attempt; null until known
 * @property idleSince monotonic time in nanoseconds of the last progress or of the start of the current phase
 * @property failedUpstreams upstreams at which an attempt failed or that are leaving; avoided by later attempts
 * @property silentUpstreams upstreams that were silent once and then answered a probe
 * @property migrateAtNanos monotonic time at which to migrate away from an upstream that announced its shutdown; null otherwise
 * @property migrateByTransfer true if the migration transfers the KV state instead of recomputing the context
 */
public data class StreamState(
    val id: RequestId,
    val limits: StreamLimits,
    val promptTokens: Int,
    val tokens: PersistentList<String> = persistentListOf(),
    val relayIndex: Int = 0,
    val phase: StreamPhase = StreamPhase.OPENING,
    val attempts: Int = 0,
    val upstream: UpstreamId? = null,
    val idleSince: Long = 0,
    val failedUpstreams: Set<UpstreamId> = emptySet(),
    val silentUpstreams: Set<UpstreamId> = emptySet(),
    val migrateAtNanos: Long? = null,
    val migrateByTransfer: Boolean = false,
) {
    /** Identifier of the current attempt; upstreams include it in every chunk. */
    public val attemptId: RequestId get() = RequestId("${id.value}.$attempts")

    /** True once the stream has ended. */
    public val ended: Boolean get() = phase == StreamPhase.COMPLETE || phase == StreamPhase.FAILED
}
