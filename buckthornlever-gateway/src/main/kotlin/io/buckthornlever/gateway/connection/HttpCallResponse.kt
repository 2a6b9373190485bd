package io.buckthornlever.gateway.connection

/** Complete answer to a call. */
public class HttpCallResponse(
    public val status: Int,
    public val body: ByteArray,
)
