package io.buckthornlever.core.request

import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.process.StoreError

/** What happens to one submission of a non-repeatable call. */
public sealed interface AtMostOnceEvent {
    /** The submission begins. */
    public data object Begin : AtMostOnceEvent

    /** A create or replacement took effect. */
    public data class Written(
        val version: ObjectVersion,
    ) : AtMostOnceEvent

    /** The record was read. */
    public data class Read(
        val record: AtMostOnceRecord,
        val version: ObjectVersion,
    ) : AtMostOnceEvent

    /** The record was deleted. */
    public data object Deleted : AtMostOnceEvent

    /** A store operation failed. */
    public data class StoreFailed(
        val error: StoreError,
    ) : AtMostOnceEvent

    /** The time asked for with [AtMostOnceCommand.StartTimer] has passed. */
    public data object TimerFired : AtMostOnceEvent

    /** The service answered. */
    public data class Answered(
        val outcome: AtMostOnceOutcome,
    ) : AtMostOnceEvent

    /** The call ended and no byte of it left this process. */
    public data object NotSent : AtMostOnceEvent

    /** The call was sent, but no answer will arrive. */
    public data class Lost(
        val detail: String,
    ) : AtMostOnceEvent
}
