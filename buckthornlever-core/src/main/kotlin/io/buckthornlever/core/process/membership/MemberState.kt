package io.buckthornlever.core.process.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** State of a member; of two states with the same incarnation, the one declared later wins. */
@Serializable
public enum class MemberState {
    /** Answers probes, or no failed probe is known. */
    @SerialName("a")
    ALIVE,

    /** Did not answer a probe; counts as dead unless it refutes this within the suspicion timeout. */
    @SerialName("s")
    SUSPECT,

    /** Did not refute the suspicion in time. */
    @SerialName("d")
    DEAD,

    /** Announced that it leaves. */
    @SerialName("l")
    LEFT,
    ;

    /** True while requests and probes may still be sent to the member. */
    public val isLive: Boolean get() = this == ALIVE || this == SUSPECT
}
