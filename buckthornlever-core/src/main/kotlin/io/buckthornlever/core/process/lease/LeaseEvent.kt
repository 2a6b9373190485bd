package io.buckthornlever.core.process.lease

import io.buckthornlever.api.process.ObjectVersion

/** Input of [LeaseMachine]. */
public sealed interface LeaseEvent {
    /** Time has passed. */
    public data object Tick : LeaseEvent

    /** The store's state at [revision]; [stored] is null when the lease has no record. */
    public data class ReadDone(
        val revision: ObjectVersion,
        val stored: StoredLease?,
    ) : LeaseEvent

    /** The read failed. */
    public data object ReadFailed : LeaseEvent

    /** The write with [token] took effect. */
    public data class WriteDone(
        val token: String,
        val version: ObjectVersion,
    ) : LeaseEvent

    /** The write with [token] certainly had no effect. */
    public data class WriteFailed(
        val token: String,
    ) : LeaseEvent

    /** The condition of the write did not hold, or its response was lost: an earlier attempt with [token] may have taken effect. */
    public data class WriteUncertain(
        val token: String,
    ) : LeaseEvent

    /**
     * The holder has told this instance that it acts on the record at [version] until [expiresAt] at the latest, counted on the
     * monotonic clock of this instance from when the message arrived.
     */
    public data class HolderAnnounced(
        val version: ObjectVersion,
        val expiresAt: Long,
    ) : LeaseEvent

    /** This instance resigns the lease; all orders that it sent under the lease have ended. */
    public data object ResignRequested : LeaseEvent
}
