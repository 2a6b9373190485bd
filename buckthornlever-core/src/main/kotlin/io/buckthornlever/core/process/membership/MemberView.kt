package io.buckthornlever.core.process.membership

/**
 * One member as an outside reader sees it.
 *
 * @property revisions last revisions heard from the member itself
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
