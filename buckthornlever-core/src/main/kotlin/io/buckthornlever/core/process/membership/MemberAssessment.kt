package io.buckthornlever.core.process.membership

/** Assessment of a member from its state, connection tests and the states of other members. */
public enum class MemberAssessment {
    /** Answers probes. */
    REACHABLE,

    /** Answers probes although an open connection to it makes no progress. */
    CONNECTION_SILENT,

    /** Its host accepts connections, but the process does not answer. */
    PAUSED,

    /** Unreachable together with most members of its failure domain or of the cluster. */
    PARTITIONED,

    /** Unreachable alone, or its host refuses connections. */
    DEAD,

    /** Announced that it leaves. */
    LEFT,

    /** Not a known member. */
    UNKNOWN,
}
