package io.buckthornlever.core.request

import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.process.StoreError

/** Events of one submission of a non-repeatable call. */
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

    /** The timer started by [OnceCommand.WakeAfter] fired. */
    public data object Woken : OnceEvent

    /** The service answered. */
    public data class Answered(
        val outcome: OnceOutcome,
    ) : OnceEvent

    /** The call ended before any byte of it was sent. */
    public data object NotSent : OnceEvent

    /** The call was sent, but its answer was lost; the service may have run it. */
    public data class Lost(
        val detail: String,
    ) : OnceEvent
}
