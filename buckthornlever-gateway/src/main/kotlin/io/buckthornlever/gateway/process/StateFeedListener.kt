package io.buckthornlever.gateway.process

import io.buckthornlever.api.serving.StateFailure
import io.buckthornlever.api.serving.StateKind
import io.buckthornlever.api.serving.StateObject

/** Receives the changes and call results of a [StateFeed]. */
internal interface StateFeedListener {
    /** The object [changed] is new or has changed. */
    fun onChanged(
        kind: StateKind,
        changed: StateObject,
    )

    /** Applying [changed] failed with [cause], an error of this program; the other objects are followed as before. */
    fun onChangeFailed(
        kind: StateKind,
        changed: StateObject,
        cause: Throwable,
    )

    /** A step of the feed failed with [cause], an error of this program; all objects are listed again. */
    fun onStepFailed(
        kind: StateKind,
        cause: Throwable,
    )

    /** The object [name] is deleted, whether it was known here or not. */
    fun onTombstone(
        kind: StateKind,
        name: String,
    )

    /** The object [name], which was known here, is deleted; called after [onTombstone]. */
    fun onDeleted(
        kind: StateKind,
        name: String,
    )

    /** The store has successfully answered a call that was sent at [sentNanos]. */
    fun onAnswered(
        kind: StateKind,
        sentNanos: Long,
    )

    /** All changes up to [revision] have been delivered; they are complete as of the monotonic time [asOfNanos]. */
    fun onSynchronised(
        asOfNanos: Long,
        revision: Long,
    )

    /** A call has failed; it is retried after a backoff. */
    fun onFailed(
        kind: StateKind,
        failure: StateFailure,
    )

    /** The store no longer has the history that a watch asked for; all objects are listed again. */
    fun onHistoryGone(kind: StateKind)
}
