package io.buckthornlever.core.request

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.process.StoreError

/** What happens to a job on one instance. */
public sealed interface JobEvent {
    /** Claim the job: create its record or take it over. */
    public data object Begin : JobEvent

    /** A write took effect. */
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

    /** A time asked for with [JobCommand.StartTimer] has passed. */
    public data object TimerFired : JobEvent

    /** The lease is due for renewal. */
    public data object RenewalDue : JobEvent

    /** The job ended with [status] and [result]. */
    public data class Finished(
        val status: Int,
        val result: String,
    ) : JobEvent

    /** This instance is leaving; [next] is to continue the job. */
    public data class HandOver(
        val next: InstanceId,
    ) : JobEvent
}
