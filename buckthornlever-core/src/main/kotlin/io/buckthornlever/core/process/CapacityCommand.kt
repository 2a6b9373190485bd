package io.buckthornlever.core.process

import io.buckthornlever.api.connection.EngineOrder
import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.CloudStartRequest
import io.buckthornlever.api.process.ObjectVersion

/** Effects that [CapacityController] requests from its owner. */
public sealed interface CapacityCommand {
    /** Read the object `status/capacity` and report it with [CapacityController.onRecordRead]. */
    public data object ReadRecord : CapacityCommand

    /** Write the object `status/capacity` if its version is still [expected]; report with [CapacityController.onRecordWritten]. */
    public data class WriteRecord(
        val record: CapacityRecord,
        val expected: ObjectVersion?,
    ) : CapacityCommand

    /** Start an instance with the fencing token [fencing]; report with [CapacityController.onOrderOutcome]. */
    public data class Start(
        val request: CloudStartRequest,
        val fencing: Long,
    ) : CapacityCommand

    /** Send [order] to an engine; report with [CapacityController.onOrderOutcome]. */
    public data class OrderEngine(
        val upstream: UpstreamId,
        val order: EngineOrder,
    ) : CapacityCommand

    /** Drain the instance, then stop it; repeating a stop has no effect. */
    public data class Stop(
        val instanceId: String,
    ) : CapacityCommand
}
