package io.buckthornlever.core.request

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.request.RequestId
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * One stream from its first attempt to its end.
 *
 * @property tokens texts of all tokens received so far, in order from index 0
 * @property relayFrom index of the first token that the caller does not have yet
 * @property attempts attempts ordered so far; the number of the current one
 * @property upstream upstream of the current attempt, once known
 * @property idleSince monotonic time of the last progress or of the start of the current phase
 * @property failedUpstreams upstreams that failed an attempt
 * @property silentUpstreams upstreams that were silent once and then answered a probe
 * @property migrateAtNanos when to leave an upstream that was announced to end; null without a notice
 * @property migrateByTransfer true when the KV state is to be moved
 */
public data class StreamState(
    val id: RequestId,
    val limits: StreamLimits,
    val promptTokens: Int,
    val tokens: PersistentList<String> = persistentListOf(),
    val relayFrom: Int = 0,
    val phase: StreamPhase = StreamPhase.OPENING,
    val attempts: Int = 0,
    val upstream: UpstreamId? = null,
    val idleSince: Long = 0,
    val failedUpstreams: Set<UpstreamId> = emptySet(),
    val silentUpstreams: Set<UpstreamId> = emptySet(),
    val migrateAtNanos: Long? = null,
    val migrateByTransfer: Boolean = false,
) {
    /** Identity of the current attempt; upstreams put it into every chunk. */
    public val attemptId: RequestId get() = RequestId("${id.value}.$attempts")

    /** True once the stream has ended. */
    public val ended: Boolean get() = phase == StreamPhase.COMPLETE || phase == StreamPhase.FAILED
}
