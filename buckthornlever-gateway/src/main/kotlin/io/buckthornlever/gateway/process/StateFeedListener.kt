package io.buckthornlever.gateway.process

import io.buckthornlever.api.serving.StateFailure
import io.buckthornlever.api.serving.StateKind
import io.buckthornlever.api.serving.StateObject

/** Hears what a [StateFeed] learns. */
internal interface StateFeedListener {
    /** [onChanged] is new or has changed. */
    fun onChanged(
        kind: StateKind,
        changed: StateObject,
    )

    /** The store told that the object [name] is gone, whether it was known here or not. */
    fun onTombstone(
        kind: StateKind,
        name: String,
    )

    /** The object [name], which was known here, is gone. */
    fun onDeleted(
        kind: StateKind,
        name: String,
    )

    /** The store has answered a call that was sent at [sentNanos]. */
    fun onAnswered(
        kind: StateKind,
        sentNanos: Long,
    )

    /** All changes up to [revision] have been delivered; they are complete as of [asOfNanos]. */
    fun onSynchronised(
        asOfNanos: Long,
        revision: Long,
    )

    /** A call failed. */
    fun onFailed(
        kind: StateKind,
        failure: StateFailure,
    )

    /** The store has forgotten the history. */
    fun onHistoryGone(kind: StateKind)
}
