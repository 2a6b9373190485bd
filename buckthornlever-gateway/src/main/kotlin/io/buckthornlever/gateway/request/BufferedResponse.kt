package io.buckthornlever.gateway.request

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus

/** A complete response of an upstream, held in memory. */
internal class BufferedResponse(
    val status: HttpResponseStatus,
    val headers: HttpHeaders,
    val body: ByteArray,
)
