package io.buckthornlever.core.process.membership

/** What a new TCP connection to a member's peer port showed. */
public enum class ConnectionEvidence {
    /** The member answered over the new connection: only the old connection is silent. */
    ANSWERED,

    /** The host accepted the connection, but the process did not answer: the process is paused or stuck. */
    ACCEPTED_BUT_SILENT,

    /** The host refused the connection: the process is gone. */
    REFUSED,

    /** Nothing came back: the host or the network between is gone. */
    TIMED_OUT,
}
