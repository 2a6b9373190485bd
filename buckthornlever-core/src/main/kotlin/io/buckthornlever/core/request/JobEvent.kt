package io.buckthornlever.core.request

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.process.StoreError

/** Events of a job on one instance. */
public sealed interface JobEvent {
    /** Claim the job: create its record or take it over. */
    public data object Begin : JobEvent

    /** A create or replacement took effect. */
    public data class Written(
        val version: ObjectVersion,
    ) : JobEvent

    /** The record was read. */
    public data class Read(
        val record: JobRecord,
        val version: ObjectVersion,
    ) : JobEvent

    /** A store operation failed. */
    public data class StoreFailed(
        val error: StoreError,
    ) : JobEvent

    /** The timer started by [JobCommand.StartTimer] fired. */
    public data object TimerFired : JobEvent

    /** The lease is due for renewal. */
    public data object RenewalDue : JobEvent

    /** The job ended with HTTP status [status] and [result]. */
    public data class Finished(
        val status: Int,
        val result: String,
    ) : JobEvent

    /** This instance is shutting down; [next] continues the job. */
    public data class HandOver(
        val next: InstanceId,
    ) : JobEvent
}
