package io.buckthornlever.core.request

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.request.RequestError

/** Effects requested by [JobMachine]; at most one store operation or timer is outstanding. */
public sealed interface JobCommand {
    /** Create the record if it does not exist. */
    public data class Create(
        val record: JobRecord,
    ) : JobCommand

    /** Replace the record if its version is [expected]. */
    public data class Replace(
        val record: JobRecord,
        val expected: ObjectVersion,
    ) : JobCommand

    /** Read the record. */
    public data object Read : JobCommand

    /** Send [JobEvent.TimerFired] after [millis]. */
    public data class StartTimer(
        val millis: Long,
    ) : JobCommand

    /** The job is accepted and its record is durable; produce the result. */
    public data class Run(
        val record: JobRecord,
    ) : JobCommand

    /** The job was not accepted. */
    public data class Refuse(
        val error: RequestError,
    ) : JobCommand

    /** Stop producing the result: another instance owns the job, or the job has ended. */
    public data object Abandon : JobCommand

    /** The result is in the store. */
    public data object ResultStored : JobCommand

    /** The record in the store names [next] as the owner. */
    public data class HandedOver(
        val next: InstanceId,
    ) : JobCommand
}
