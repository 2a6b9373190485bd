package io.buckthornlever.core.process

import io.buckthornlever.api.connection.EngineOrder
import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.CloudStartRequest
import io.buckthornlever.api.process.ObjectVersion

/** What the owner of [CapacityController] has to do. */
public sealed interface CapacityCommand {
    /** Read `status/capacity` and report it with [CapacityController.onRecordRead]. */
    public data object ReadRecord : CapacityCommand

    /** Write `status/capacity` if its version is [expected]; report with [CapacityController.onRecordWritten]. */
    public data class WriteRecord(
        val record: CapacityRecord,
        val expected: ObjectVersion?,
    ) : CapacityCommand

    /** Start an instance; report with [CapacityController.onOrderOutcome]. */
    public data class Start(
        val request: CloudStartRequest,
        val fencing: Long,
    ) : CapacityCommand

    /** Give an order to an engine; report with [CapacityController.onOrderOutcome]. */
    public data class OrderEngine(
        val upstream: UpstreamId,
        val order: EngineOrder,
    ) : CapacityCommand

    /** Drain the instance and stop it; stopping is idempotent. */
    public data class Stop(
        val instanceId: String,
    ) : CapacityCommand
}
