package io.buckthornlever.api.connection

/** Errors of the protocol between entry instances. */
public sealed interface PeerError {
    /** The peer could not be reached or closed the connection. */
    public data class Unreachable(
        val detail: String,
    ) : PeerError

    /** The peer accepted the connection but did not answer in time. */
    public data object Silent : PeerError

    /** The peer's host refused the connection. */
    public data object Refused : PeerError

    /** The message was dropped unread or unanswered for [reason]. */
    public data class Rejected(
        val reason: PeerRejection,
    ) : PeerError
}
