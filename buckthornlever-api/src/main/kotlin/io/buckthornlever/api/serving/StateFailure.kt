package io.buckthornlever.api.serving

/** Why a call to the shared store failed. */
public sealed interface StateFailure {
    /** The store no longer keeps the changes since the watched revision. */
    public data object HistoryGone : StateFailure

    /** The condition of a write does not hold; [current] is the stored object, if the store returned it. */
    public data class Conflict(
        val current: StateObject?,
    ) : StateFailure

    /** The object does not exist. */
    public data object NotFound : StateFailure

    /** The store refused the call; it had no effect. */
    public data class Refused(
        val detail: String,
    ) : StateFailure

    /** No usable response arrived; a write may have taken effect or may still do so. */
    public data class Unknown(
        val detail: String,
    ) : StateFailure
}
