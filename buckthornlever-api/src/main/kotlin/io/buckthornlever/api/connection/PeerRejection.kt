package io.buckthornlever.api.connection

/** Why an entry instance dropped a message of a peer. */
public enum class PeerRejection {
    /** The message exceeds the size limit of its transport. */
    OVERSIZED,

    /** No accepted key authenticates the message. */
    UNAUTHENTICATED,

    /** The message is authenticated, but not valid in the protocol. */
    MALFORMED,

    /** The message comes from another site. */
    FOREIGN_SITE,

    /** The message is addressed to another instance. */
    MISDIRECTED,

    /** The message was seen before, is too old, or comes from an earlier incarnation of the sender. */
    REPLAYED,

    /** This instance does not support the protocol version of the message. */
    UNSUPPORTED_VERSION,

    /** Its sender has sent more than an instance reads of it in a second; the message was not decoded. */
    LIMITED,
}
