package io.buckthornlever.gateway.connection

import io.netty.handler.codec.http.HttpHeaders

/** Complete response to a call. */
public class HttpCallResponse(
    public val status: Int,
    public val headers: HttpHeaders,
    public val body: ByteArray,
)
