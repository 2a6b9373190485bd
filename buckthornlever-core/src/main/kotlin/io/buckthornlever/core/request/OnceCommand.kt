package io.buckthornlever.core.request

import io.buckthornlever.api.process.ObjectKey
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.request.RequestError

/** Effects requested by [OnceMachine]; at most one store operation is outstanding at a time. */
public sealed interface OnceCommand {
    /** Create the record if the key does not exist. */
    public data class Create(
        val key: ObjectKey,
        val record: OnceRecord,
    ) : OnceCommand

    /** Read the record. */
    public data class Read(
        val key: ObjectKey,
    ) : OnceCommand

    /** Replace the record if its version is [expected]. */
    public data class Replace(
        val key: ObjectKey,
        val record: OnceRecord,
        val expected: ObjectVersion,
    ) : OnceCommand

    /** Delete the record if its version is [expected]. */
    public data class Delete(
        val key: ObjectKey,
        val expected: ObjectVersion,
    ) : OnceCommand

    /** Send the call to the service; issued at most once per submission. */
    public data object Dispatch : OnceCommand

    /** Answer the caller with [outcome]; [replayed] is true if it was read from the record. */
    public data class Reply(
        val outcome: OnceOutcome,
        val replayed: Boolean,
    ) : OnceCommand

    /** Answer the caller with [error]. */
    public data class Refuse(
        val error: RequestError,
    ) : OnceCommand

    /** Send [OnceEvent.Woken] after [millis]. */
    public data class WakeAfter(
        val millis: Long,
    ) : OnceCommand
}
