package io.buckthornlever.core.process.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** State of a member; of two states with the same incarnation the later one in this list wins. */
@Serializable
public enum class MemberState {
    /** Answers probes, or nothing is known against it. */
    @SerialName("a")
    ALIVE,

    /** Did not answer a probe; has until the suspicion timeout to refute. */
    @SerialName("s")
    SUSPECT,

    /** Did not refute the suspicion in time. */
    @SerialName("d")
    DEAD,

    /** Announced its own leaving. */
    @SerialName("l")
    LEFT,
    ;

    /** True when work and probes may still go to the member. */
    public val isLive: Boolean get() = this == ALIVE || this == SUSPECT
}
