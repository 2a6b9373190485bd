package io.buckthornlever.core.process.membership

/** What the evidence about a member says. */
public enum class MemberAssessment {
    /** Answers probes. */
    REACHABLE,

    /** Answers probes although an open connection to it went silent. */
    CONNECTION_SILENT,

    /** Its host accepts connections, but the process does not answer. */
    PAUSED,

    /** Unreachable together with most members of its failure domain or of the cluster. */
    PARTITIONED,

    /** Unreachable alone, or its host refuses connections. */
    DEAD,

    /** Announced its leaving. */
    LEFT,

    /** Not a known member. */
    UNKNOWN,
}
