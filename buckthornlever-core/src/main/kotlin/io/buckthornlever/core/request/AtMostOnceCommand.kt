package io.buckthornlever.core.request

import io.buckthornlever.api.process.ObjectKey
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.request.RequestError

/** Effects that [AtMostOnceMachine] asks for; at most one store operation is outstanding at a time. */
public sealed interface AtMostOnceCommand {
    /** Create the record if the key does not exist. */
    public data class Create(
        val key: ObjectKey,
        val record: AtMostOnceRecord,
    ) : AtMostOnceCommand

    /** Read the record. */
    public data class Read(
        val key: ObjectKey,
    ) : AtMostOnceCommand

    /** Replace the record if its version is [expected]. */
    public data class Replace(
        val key: ObjectKey,
        val record: AtMostOnceRecord,
        val expected: ObjectVersion,
    ) : AtMostOnceCommand

    /** Delete the record if its version is [expected]. */
    public data class Delete(
        val key: ObjectKey,
        val expected: ObjectVersion,
    ) : AtMostOnceCommand

    /** Send the call now; issued at most once for a submission. */
    public data object Dispatch : AtMostOnceCommand

    /** Answer the caller with [outcome]. */
    public data class Reply(
        val outcome: AtMostOnceOutcome,
        val replayed: Boolean,
    ) : AtMostOnceCommand

    /** Answer the caller with [error]. */
    public data class Refuse(
        val error: RequestError,
    ) : AtMostOnceCommand

    /** Send [AtMostOnceEvent.TimerFired] after [millis]. */
    public data class StartTimer(
        val millis: Long,
    ) : AtMostOnceCommand
}
