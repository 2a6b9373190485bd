package io.buckthornlever.api.connection

/** Errors of the protocol between entry instances. */
public sealed interface PeerError {
    /** The peer could not be reached or closed the connection. */
    public data class Unreachable(
        val detail: String,
    ) : PeerError

    /** The peer accepted the connection but did not respond in time. */
    public data object Silent : PeerError

    /** The host of the peer refused the connection. */
    public data object Refused : PeerError

    /** The message was dropped without a response, for [reason]. */
    public data class Rejected(
        val reason: PeerRejection,
    ) : PeerError
}
