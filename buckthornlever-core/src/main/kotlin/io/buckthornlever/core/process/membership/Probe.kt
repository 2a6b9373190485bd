package io.buckthornlever.core.process.membership

import io.buckthornlever.api.process.InstanceId

/**
 * A probe without an answer so far. Times are monotonic nanoseconds.
 *
 * @property relayFor member that asked for this probe, and the number that it used; null for an own probe
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

    /** The member to which the answer is passed on. */
    class Relay(
        val requester: MemberAddress,
        val number: Long,
    )
}
