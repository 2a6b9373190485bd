package io.buckthornlever.core.version

import io.buckthornlever.api.process.ObjectKey
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.process.PoolName
import io.buckthornlever.api.version.MoveStatus

/** Action that the owner of [VersionMoves] has to carry out. */
public sealed interface MoveCommand {
    /** Send the rows to all peers. A lost delta needs no retry, since later deltas of the same rows replace it. */
    public data class SendEvidence(
        val delta: EvidenceDelta,
    ) : MoveCommand

    /** Gossip the stop; repeated while the move is configured. */
    public data class GossipStop(
        val stop: VersionStop,
    ) : MoveCommand

    /** Gossip the record. */
    public data class GossipStatus(
        val status: MoveStatus,
    ) : MoveCommand

    /** Read the stored record and report it with [VersionMoves.onStatusRead]. */
    public data class ReadStatus(
        val pool: PoolName,
        val key: ObjectKey,
    ) : MoveCommand

    /** Write the record if the stored version is [expected], null for a new object; report with [VersionMoves.onStatusWritten]. */
    public data class WriteStatus(
        val key: ObjectKey,
        val status: MoveStatus,
        val expected: ObjectVersion?,
    ) : MoveCommand

    /** Report to operators that the move was completed or rolled back; issued once per instance and final state. */
    public data class ReportEnd(
        val status: MoveStatus,
    ) : MoveCommand
}
