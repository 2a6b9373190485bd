package io.buckthornlever.gateway.connection

/** Complete response to a call. */
public class HttpCallResponse(
    public val status: Int,
    public val body: ByteArray,
)
