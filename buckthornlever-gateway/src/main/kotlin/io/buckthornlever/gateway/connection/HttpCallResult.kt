package io.buckthornlever.gateway.connection

/** Complete answer to a call. */
public class HttpCallResult(
    public val status: Int,
    public val body: ByteArray,
)
