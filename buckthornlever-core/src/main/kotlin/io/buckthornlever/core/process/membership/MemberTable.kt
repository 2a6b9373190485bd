package io.buckthornlever.core.process.membership

import io.buckthornlever.api.process.InstanceId

/** Records of all other members. The live ones are kept sorted by identity, so that all instances agree on the probe ring. */
internal class MemberTable(
    private val self: InstanceId,
) {
    private val members = HashMap<InstanceId, Member>()
    private val live = ArrayList<Member>()
    private val dead = ArrayList<Member>()

    val liveMembers: List<Member> get() = live

    /** Members that are dead, as opposed to left, and may come back. */
    val deadMembers: List<Member> get() = dead

    /** Position of this instance among the live members. */
    val ownPosition: Int get() = -live.binarySearchBy(self.value) { it.address.id.value } - 1

    operator fun get(id: InstanceId): Member? = members[id]

    fun all(): Collection<Member> = members.values

    fun add(member: Member) {
        members[member.address.id] = member
        index(member)
    }

    fun changeState(member: Member, state: MemberState, nanos: Long) {
        if (member.state != state) {
            val wasLive = member.state.isLive
            if (wasLive && !state.isLive) unindexLive(member)
            if (member.state == MemberState.DEAD) dead.remove(member)
            member.state = state
            member.stateSince = nanos
            if (!wasLive || !state.isLive) index(member)
        }
    }

    /** Removes members that died or left before [nanos]. */
    fun removeGoneBefore(nanos: Long) {
        val old = members.values.filter { !it.state.isLive && it.stateSince - nanos < 0 }
        old.forEach {
            members.remove(it.address.id)
            dead.remove(it)
        }
    }

    private fun index(member: Member) {
        when {
            member.state.isLive -> {
                val at = live.binarySearchBy(member.address.id.value) { it.address.id.value }
                if (at < 0) live.add(-at - 1, member)
            }

            member.state == MemberState.DEAD -> dead.add(member)
        }
    }

    private fun unindexLive(member: Member) {
        val at = live.binarySearchBy(member.address.id.value) { it.address.id.value }
        if (at >= 0) live.removeAt(at)
    }
}
