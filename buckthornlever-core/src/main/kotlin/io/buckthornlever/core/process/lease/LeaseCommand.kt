package io.buckthornlever.core.process.lease

import io.buckthornlever.api.process.ObjectVersion

/** Output of [LeaseMachine]. */
public sealed interface LeaseCommand {
    /** Read the record together with the store's revision. */
    public data object Read : LeaseCommand

    /** Write [record] if the stored version is [expected]; if the object does not exist when null. */
    public data class Write(
        val record: LeaseRecord,
        val expected: ObjectVersion?,
    ) : LeaseCommand

    /** This instance holds the lease with [fencing]. */
    public data class Gained(
        val fencing: Long,
    ) : LeaseCommand

    /** This instance holds the lease no longer. */
    public data class Lost(
        val reason: LeaseLossReason,
    ) : LeaseCommand
}
