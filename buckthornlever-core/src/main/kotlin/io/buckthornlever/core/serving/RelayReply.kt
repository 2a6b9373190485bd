package io.buckthornlever.core.serving

import io.buckthornlever.api.serving.StateChange

/** Answer of a [RelayLog] to a follower. */
public sealed interface RelayReply {
    /**
     * Changes up to [revision].
     *
     * @property asOfNanos monotonic time of the relay as of which they are complete
     */
    public data class Changes(
        val changes: List<StateChange>,
        val revision: Long,
        val asOfNanos: Long,
    ) : RelayReply

    /** The changes since the requested revision are no longer known; the follower has to list all objects. */
    public data object HistoryGone : RelayReply

    /** The store has not confirmed the relay's content recently enough; the follower has to ask elsewhere. */
    public data object Unavailable : RelayReply
}
