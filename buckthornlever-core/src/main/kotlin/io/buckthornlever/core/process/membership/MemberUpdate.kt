package io.buckthornlever.core.process.membership

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/**
 * A claim about the state of a member. Claims merge by the maximum of incarnation and then state, so that their order does not matter.
 *
 * @property incarnation increases when the member refutes a suspicion, resumes after a pause or restarts
 */
@Serializable
@CborArray
public data class MemberUpdate(
    val address: MemberAddress,
    val incarnation: Long,
    val state: MemberState,
) {
    /** True when this claim replaces one with [otherIncarnation] and [otherState]. */
    public fun overrides(otherIncarnation: Long, otherState: MemberState): Boolean =
        incarnation > otherIncarnation || (incarnation == otherIncarnation && state > otherState)

    /** Upper estimate of the encoded size, in bytes. */
    public fun estimatedBytes(): Int = FIXED_BYTES + address.id.value.length + address.host.length + address.failureDomain.value.length

    /** Holds the serializer. */
    public companion object {
        private const val FIXED_BYTES = 24
    }
}
