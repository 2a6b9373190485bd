package io.buckthornlever.core.process.membership

/**
 * Distinguishes a silent connection, a paused process, a partition and a dead process. Missing responses alone do not distinguish
 * them; the result of a new connection and the states of the member's neighbours do in part.
 */
internal object MemberAssessor {
    private const val MIN_GROUP_SIZE = 2

    fun assess(member: Member, table: MemberTable): MemberAssessment =
        when (member.state) {
            MemberState.LEFT -> MemberAssessment.LEFT
            MemberState.ALIVE -> if (isConnectionSilent(member)) MemberAssessment.CONNECTION_SILENT else MemberAssessment.REACHABLE
            MemberState.SUSPECT, MemberState.DEAD -> assessUnreachable(member, table)
        }

    private fun isConnectionSilent(member: Member): Boolean {
        val since = member.silentConnectionSince ?: return false
        val heard = member.lastHeard ?: return false
        return heard >= since
    }

    private fun assessUnreachable(member: Member, table: MemberTable): MemberAssessment =
        when (member.evidence) {
            ConnectionEvidence.ACCEPTED_BUT_SILENT -> MemberAssessment.PAUSED
            ConnectionEvidence.REFUSED -> MemberAssessment.DEAD
            ConnectionEvidence.ANSWERED -> MemberAssessment.REACHABLE
            ConnectionEvidence.TIMED_OUT, null -> if (isPartitioned(member, table)) MemberAssessment.PARTITIONED else MemberAssessment.DEAD
        }

    private fun isPartitioned(member: Member, table: MemberTable): Boolean {
        val others = table.all().filter { it.state != MemberState.LEFT }
        val domain = others.filter { it.address.failureDomain == member.address.failureDomain }
        return areMostUnreachable(domain) || areMostUnreachable(others)
    }

    private fun areMostUnreachable(group: List<Member>): Boolean =
        group.size >= MIN_GROUP_SIZE && group.count { it.state != MemberState.ALIVE } * 2 > group.size
}
