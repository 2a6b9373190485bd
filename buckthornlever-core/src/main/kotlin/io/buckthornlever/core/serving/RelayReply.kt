package io.buckthornlever.core.serving

import io.buckthornlever.api.serving.StateChange

/** Answer of a [RelayLog] to an instance that follows it. */
public sealed interface RelayReply {
    /**
     * Changes up to [revision].
     *
     * @property asOfNanos monotonic time of the relay up to which they are complete
     */
    public data class Changes(
        val changes: List<StateChange>,
        val revision: Long,
        val asOfNanos: Long,
    ) : RelayReply

    /** The changes since the asked revision are not known any more; the follower has to list everything. */
    public data object HistoryGone : RelayReply

    /** The relay cannot vouch for what it knows; the follower has to ask elsewhere. */
    public data object Unavailable : RelayReply
}
