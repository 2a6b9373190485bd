package io.buckthornlever.gateway.connection

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus

/** Answers one request of a caller. */
public interface CallerReply {
    /** Sends a whole answer. */
    public fun respond(
        status: HttpResponseStatus,
        headers: HttpHeaders,
        body: ByteArray,
    )

    /** Sends the head of an answer whose body follows in parts. */
    public fun start(
        status: HttpResponseStatus,
        headers: HttpHeaders,
    )

    /** Sends part of a started answer. */
    public fun write(bytes: ByteArray)

    /** Ends a started answer as complete. */
    public fun end()

    /** Breaks a started answer off, so that it does not look complete. */
    public fun abort()
}
