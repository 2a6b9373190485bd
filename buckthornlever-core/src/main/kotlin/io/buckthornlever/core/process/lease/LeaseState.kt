package io.buckthornlever.core.process.lease

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.ObjectVersion

/**
 * State of one instance with regard to one lease. Times are monotonic nanoseconds.
 *
 * @property observed last record read and when it was first seen
 * @property announced the holder's latest statement about its lease; null when there is none
 * @property held set while this instance holds the lease
 * @property pending write whose outcome is not known yet; null when there is none
 * @property readDeadline time at which the current read counts as unanswered; null when no read is in progress
 */
public data class LeaseState(
    val self: InstanceId,
    val incarnation: Long,
    val writes: Long = 0,
    val observed: Observed? = null,
    val held: Held? = null,
    val pending: PendingWrite? = null,
    val readDeadline: Long? = null,
    val nextRead: Long? = null,
    val announced: LeaseEvent.HolderAnnounced? = null,
) {
    /** A record and the time at which it was first read. */
    public data class Observed(
        val lease: StoredLease,
        val since: Long,
    )

    /**
     * The lease as held.
     *
     * @property expiresAt counted from before the write was sent, so that it is never later than other instances assume
     * @property renewAt when the next renewal is due
     * @property unfencedOrdersFrom earliest time at which orders may go to engines that ignore fencing tokens
     */
    public data class Held(
        val version: ObjectVersion,
        val fencing: Long,
        val expiresAt: Long,
        val renewAt: Long,
        val unfencedOrdersFrom: Long,
    )

    /** A write whose outcome is not known yet; [uncertain] once the outcome has to be read back from the store. */
    public data class PendingWrite(
        val record: LeaseRecord,
        val expected: ObjectVersion?,
        val sentAt: Long,
        val uncertain: Boolean = false,
    )
}
