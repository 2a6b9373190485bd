package io.buckthornlever.core.process.configuration

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.core.process.membership.Membership
import io.buckthornlever.core.process.membership.MembershipCommand
import io.buckthornlever.core.process.membership.MembershipEvent
import io.buckthornlever.core.process.membership.Moment
import io.buckthornlever.core.process.membership.TableRevisions

/**
 * Waits until [target] is in effect on all live members. Heartbeats carry revisions, but at full size a member hears each other one
 * only every few minutes; the wait asks those that lag, at a bounded rate.
 *
 * @param deadlineNanos monotonic time at which the wait ends in any case
 */
public class PropagationWait(
    private val target: TableRevisions,
    private val deadlineNanos: Long,
) {
    private var next = 0

    /**
     * Result of one step.
     *
     * @property lagging live members that are not known to have the target in effect
     * @property isOver true when nobody lags or the deadline has passed
     * @property commands datagrams to send
     */
    public data class Step(
        val lagging: List<InstanceId>,
        val isOver: Boolean,
        val commands: List<MembershipCommand>,
    )

    /** Takes one step; call it about every 100 ms. [ownRevisions] are those of this instance. */
    public fun step(membership: Membership, ownId: InstanceId, ownRevisions: TableRevisions, now: Moment): Step {
        val behind = membership.behind(target)
        val lagging = if (ownRevisions.isBehind(target)) behind + ownId else behind
        if (lagging.isEmpty() || now.nanos >= deadlineNanos) return Step(lagging, true, emptyList())
        val asked = List(minOf(ASKED_PER_STEP, behind.size)) { behind[(next + it) % behind.size] }
        next += asked.size
        return Step(lagging, false, membership.handle(MembershipEvent.RequestRevisions(asked), now))
    }

    private companion object {
        /** 200 members a second at ten steps a second: 1,200 members are asked twice within 13 s. */
        const val ASKED_PER_STEP = 20
    }
}
