package io.buckthornlever.gateway.process

import io.buckthornlever.api.serving.StateChange
import io.buckthornlever.api.serving.StateObject
import io.buckthornlever.api.serving.StateValue
import io.buckthornlever.api.serving.StoreRevision

/**
 * What a follower understands of the responses of a relay. Releases that state no version reject responses with fields that they do
 * not know; the older ones of them also know revisions of the store without the era.
 */
internal enum class RelayFormat {
    /** The follower states a version. */
    VERSIONED,

    /** It states none, and its revisions have the era. */
    WITH_ERA,

    /** It states none, and its revisions are the store's own numbers. */
    WITHOUT_ERA,
    ;

    /** Revision that such a follower means by [stated], while [newest] is the relay's newest. */
    fun since(
        stated: Long?,
        newest: Long,
    ): Long? = if (this == WITHOUT_ERA && stated != null) StoreRevision.of(StoreRevision.eraOf(newest), stated) else stated

    /** The [response] as such a follower knows it. */
    fun convert(response: RelayResponse): RelayResponse {
        if (this == VERSIONED) return response.copy(version = PeerProtocol.CURRENT)
        return RelayResponse(response.changes.map(::convert), convert(response.revision), response.asOfOffsetNanos)
    }

    private fun convert(change: StateChange): StateChange =
        change.copy(changed = StateObject(change.changed.name, convert(change.changed.revision), convert(change.changed.value)))

    private fun convert(value: StateValue?): StateValue? =
        when (value) {
            is StateValue.Instance -> StateValue.Instance(value.record.copy(protocol = PeerProtocol.UNSTATED))
            is StateValue.Upstream -> StateValue.Upstream(value.upstream.copy(sequence = null))
            else -> value
        }

    private fun convert(revision: Long): Long = if (this == WITHOUT_ERA) StoreRevision.numberOf(revision) else revision

    companion object {
        /**
         * Format for a follower that states [version] and asks for the changes since [since], while [newest] is the relay's newest
         * revision. Null if it cannot be served and has to ask the store.
         */
        fun of(
            version: Long,
            since: Long?,
            newest: Long,
        ): RelayFormat? =
            when {
                version > PeerProtocol.UNSTATED -> VERSIONED
                // Both kinds of revisions are the same.
                StoreRevision.eraOf(newest) == 0L -> WITH_ERA
                // A listing does not show which kind it expects.
                since == null -> null
                since > 0 && StoreRevision.eraOf(since) > 0 -> WITH_ERA
                // A higher number may be of an era that the store has left.
                since in 0..StoreRevision.numberOf(newest) -> WITHOUT_ERA
                else -> null
            }
    }
}
