package io.buckthornlever.core.request

import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.process.StoreError

/** What happens to one submission of a non-repeatable call. */
public sealed interface OnceEvent {
    /** The submission begins. */
    public data object Begin : OnceEvent

    /** A create or replacement took effect. */
    public data class Written(
        val version: ObjectVersion,
    ) : OnceEvent

    /** The record was read. */
    public data class Read(
        val record: OnceRecord,
        val version: ObjectVersion,
    ) : OnceEvent

    /** The record was deleted. */
    public data object Deleted : OnceEvent

    /** A store operation failed. */
    public data class StoreFailed(
        val error: StoreError,
    ) : OnceEvent

    /** The time asked for with [OnceCommand.WakeAfter] has passed. */
    public data object Woken : OnceEvent

    /** The service answered. */
    public data class Answered(
        val outcome: OnceOutcome,
    ) : OnceEvent

    /** The call ended and no byte of it left this process. */
    public data object NotSent : OnceEvent

    /** The call was sent, but no answer will arrive. */
    public data class Lost(
        val detail: String,
    ) : OnceEvent
}
