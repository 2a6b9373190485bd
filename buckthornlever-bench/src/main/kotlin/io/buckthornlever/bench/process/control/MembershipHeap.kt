package io.buckthornlever.bench.process.control

import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.core.process.membership.MemberAddress
import io.buckthornlever.core.process.membership.MemberState
import io.buckthornlever.core.process.membership.MemberUpdate
import io.buckthornlever.core.process.membership.Membership
import io.buckthornlever.core.process.membership.MembershipEvent
import io.buckthornlever.core.process.membership.MembershipSettings
import io.buckthornlever.core.process.membership.Moment
import kotlin.random.Random

/** Heap that the membership of one instance keeps. */
internal object MembershipHeap {
    private const val MEGABYTE = 1_000_000.0
    private const val COLLECTIONS = 3

    /** Heap of one instance with [members] members, averaged over [copies], in megabytes. */
    fun megabytes(members: Int, copies: Int): Double {
        val before = used()
        val held = List(copies) { filled(members) }
        val after = used()
        check(held.all { it.liveCount == members })
        return (after - before) / MEGABYTE / copies
    }

    private fun filled(members: Int): Membership {
        val membership = Membership(address(0), 1, MembershipSettings(), Random(1))
        val updates = List(members) { MemberUpdate(address(it), 1, MemberState.ALIVE) }
        membership.handle(MembershipEvent.MembersReceived(updates), Moment(0, 0))
        return membership
    }

    private fun address(index: Int): MemberAddress =
        MemberAddress(
            InstanceId("instance-%05d".format(index)),
            "10.0.%d.%d".format(index / 256, index % 256),
            7_000,
            FailureDomain("zone-%02d".format(index % 18)),
        )

    private fun used(): Long {
        repeat(COLLECTIONS) { System.gc() }
        val runtime = Runtime.getRuntime()
        return runtime.totalMemory() - runtime.freeMemory()
    }
}
