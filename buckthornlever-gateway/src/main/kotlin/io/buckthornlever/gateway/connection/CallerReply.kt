package io.buckthornlever.gateway.connection

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus

/** Sends the response to one request of a caller. */
public interface CallerReply {
    /** Sends a complete response. */
    public fun respond(
        status: HttpResponseStatus,
        headers: HttpHeaders,
        body: ByteArray,
    )

    /** Sends the head of a response whose body follows in parts. */
    public fun start(
        status: HttpResponseStatus,
        headers: HttpHeaders,
    )

    /** Sends part of the body of a started response. */
    public fun write(bytes: ByteArray)

    /** Completes a started response. */
    public fun end()

    /** Tells that [bytes] of the response are held until it is complete. */
    public fun onBuffered(bytes: Int): Unit = Unit

    /** Aborts a started response, so that it does not look complete. */
    public fun abort()
}
