package io.buckthornlever.daemon.process.control

import io.buckthornlever.core.process.membership.MemberUpdate
import io.buckthornlever.core.process.membership.MemberView
import io.buckthornlever.core.process.membership.MembershipCounters
import io.buckthornlever.core.process.membership.TableRevisions

/** State of [ControlPlane] at one point in time. */
public data class ControlSnapshot(
    val own: MemberUpdate,
    val members: List<MemberView>,
    val revisions: TableRevisions,
    val refusedRevisions: TableRevisions,
    val watchesStore: Boolean,
    val storeIsDown: Boolean,
    val facts: Int,
    val counters: MembershipCounters,
    val droppedEvents: Long,
)
