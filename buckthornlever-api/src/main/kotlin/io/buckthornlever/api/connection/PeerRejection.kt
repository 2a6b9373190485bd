package io.buckthornlever.api.connection

/** Why a message between entry instances is dropped. */
public enum class PeerRejection {
    /** Larger than the limit of its transport. */
    OVERSIZED,

    /** Not authenticated by any accepted key. */
    UNAUTHENTICATED,

    /** Authenticated, but not a message of the protocol. */
    MALFORMED,

    /** Of another site. */
    FOREIGN_SITE,

    /** Addressed to another instance. */
    MISDIRECTED,

    /** Seen before, too old, or of an earlier incarnation of the sender. */
    REPLAYED,

    /** Of a protocol version that this instance does not speak. */
    UNSUPPORTED_VERSION,
}
