package io.buckthornlever.core.process.membership

/** Local record of one other member. Times are monotonic nanoseconds. */
internal class Member(
    var address: MemberAddress,
    var incarnation: Long,
    var state: MemberState,
    var stateSince: Long,
) {
    /** Time of the last message from the member itself; null before the first one. */
    var lastHeard: Long? = null
    var suspicionDeadline = 0L
    var revisions = TableRevisions()
    var evidence: ConnectionEvidence? = null
    var silentConnectionSince: Long? = null

    fun toUpdate(): MemberUpdate = MemberUpdate(address, incarnation, state)
}
