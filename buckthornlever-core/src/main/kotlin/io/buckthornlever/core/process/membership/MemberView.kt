package io.buckthornlever.core.process.membership

/**
 * Snapshot of one member for readers outside the state machine.
 *
 * @property revisions last revisions received from the member itself
 * @property silentNanos time since the last message from the member itself, in nanoseconds; null when there was none
 */
public data class MemberView(
    val address: MemberAddress,
    val incarnation: Long,
    val state: MemberState,
    val assessment: MemberAssessment,
    val revisions: TableRevisions,
    val silentNanos: Long?,
)
