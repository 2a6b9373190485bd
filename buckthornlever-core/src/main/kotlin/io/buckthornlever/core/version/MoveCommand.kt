package io.buckthornlever.core.version

import io.buckthornlever.api.process.ObjectKey
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.process.PoolName

/** What the owner of [VersionMoves] has to do. */
public sealed interface MoveCommand {
    /** Send the rows to all peers; losses are made up by later deltas of the same rows. */
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

    /** Tell operators that the move was completed or rolled back; once per instance. */
    public data class ReportEnd(
        val status: MoveStatus,
    ) : MoveCommand
}
