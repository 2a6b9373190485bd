package io.buckthornlever.core.request

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.request.RequestId
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * One stream from its first attempt to its end.
 *
 * @property tokens texts of all tokens received so far, in order from index 0
 * @property relayIndex index of the first token that the caller does not have yet
 * @property attempts attempts ordered so far; the number of the current one
 * @property upstream upstream of the current attempt, once known
 * @property since monotonic time of the last progress or of the start of the current phase
 * @property failed upstreams that failed an attempt
 * @property silent upstreams that were silent once and then answered a probe
 * @property moveAtNanos when to leave an upstream that was announced to end; null without a notice
 * @property moveByTransfer true when the KV state is to be moved
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
    val since: Long = 0,
    val failed: Set<UpstreamId> = emptySet(),
    val silent: Set<UpstreamId> = emptySet(),
    val moveAtNanos: Long? = null,
    val moveByTransfer: Boolean = false,
) {
    /** Identity of the current attempt; upstreams put it into every chunk. */
    public val attemptId: RequestId get() = RequestId("${id.value}.$attempts")

    /** True once the stream has ended. */
    public val ended: Boolean get() = phase == StreamPhase.COMPLETE || phase == StreamPhase.FAILED
}
