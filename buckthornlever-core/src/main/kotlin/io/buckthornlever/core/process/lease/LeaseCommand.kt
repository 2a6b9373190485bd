package io.buckthornlever.core.process.lease

import io.buckthornlever.api.process.ObjectVersion

/** Output of [LeaseMachine]. */
public sealed interface LeaseCommand {
    /** Read the lease record together with the revision of the store. */
    public data object Read : LeaseCommand

    /** Write [record] on the condition that the stored version is [expected], or that the object does not exist if [expected] is null. */
    public data class Write(
        val record: LeaseRecord,
        val expected: ObjectVersion?,
    ) : LeaseCommand

    /** This instance now holds the lease; [fencing] is its fencing token. */
    public data class Gained(
        val fencing: Long,
    ) : LeaseCommand

    /** This instance no longer holds the lease. */
    public data class Lost(
        val reason: LeaseLossReason,
    ) : LeaseCommand
}
