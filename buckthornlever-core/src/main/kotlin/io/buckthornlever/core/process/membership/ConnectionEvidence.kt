package io.buckthornlever.core.process.membership

/** Result of opening a new TCP connection to a member's peer port. */
public enum class ConnectionEvidence {
    /** The member answered over the new connection: only the old connection makes no progress. */
    ANSWERED,

    /** The host accepted the connection, but the process did not answer: the process is paused or stuck. */
    ACCEPTED_BUT_SILENT,

    /** The host refused the connection: the process no longer runs. */
    REFUSED,

    /** No response: the host or the network path to it is down. */
    TIMED_OUT,
}
