package io.buckthornlever.gateway.connection

/** Complete response to a call. */
public class HttpCallResult(
    public val status: Int,
    public val body: ByteArray,
)
