package io.buckthornlever.standin.process

/** Time at which a server sends the first response of a connection once more, on the same connection. */
public enum class ResponseCopy {
    /** At once, while the connection is idle. */
    WHILE_IDLE,

    /** At once, with only the first part of the head; the rest follows before the answer to the next request. */
    CUT_WHILE_IDLE,

    /** After the next request and before the answer to it. */
    BEFORE_ANSWER,

    /** Like [BEFORE_ANSWER], in pieces that reach the client one by one. */
    IN_PIECES,

    /** After the answer to the next request. */
    AFTER_ANSWER,
}
