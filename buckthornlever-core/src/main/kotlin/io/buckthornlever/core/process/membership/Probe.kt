package io.buckthornlever.core.process.membership

import io.buckthornlever.api.process.InstanceId

/**
 * A probe that has not been answered yet. Times are monotonic nanoseconds.
 *
 * @property suspectOnFailure true if the target becomes suspect when this probe fails; only such a probe is repeated indirectly
 * @property relayFor member that requested this probe and the number that it used; null for a probe of this instance's own
 */
internal class Probe(
    val number: Long,
    val target: InstanceId,
    val directDeadline: Long,
    val finalDeadline: Long,
    val suspectOnFailure: Boolean,
    val relayFor: Relay? = null,
) {
    var indirectSent = false

    /** The member to which the answer is forwarded. */
    class Relay(
        val requester: MemberAddress,
        val number: Long,
    )
}
