package io.buckthornlever.api.version

import kotlinx.serialization.Serializable

/**
 * Record of a move's progress, written by the lease holder, stored at `status/moves/<pool>` and gossiped.
 *
 * @property sharePermille share of the new version, in permille; it grows only through this record
 * @property shareSince when the share took effect, as an ISO-8601 instant
 * @property fencing fencing token of the lease under which the record was written
 * @property sequence number of the record within the move
 * @property atRisk true when the move is not expected to finish by its due time
 * @property reasons why the move is at risk or was rolled back
 */
@Serializable
public data class MoveStatus(
    val move: MoveId,
    val state: MoveState,
    val sharePermille: Int,
    val shareSince: String,
    val fencing: Long,
    val sequence: Long,
    val atRisk: Boolean = false,
    val reasons: List<String> = emptyList(),
) {
    /** Returns the newer of two records of the same move; commutative and idempotent. A rollback is never undone. */
    public fun merge(other: MoveStatus): MoveStatus = maxOf(this, other, ORDER)

    public companion object {
        private val ORDER: Comparator<MoveStatus> =
            compareBy<MoveStatus> { it.state }
                .thenBy { it.fencing }
                .thenBy { it.sequence }
                .thenBy { it.sharePermille }
                .thenBy { it.shareSince }
                .thenBy { it.atRisk }
                .thenBy { it.reasons.joinToString() }
    }
}
