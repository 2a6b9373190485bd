package io.buckthornlever.gateway.connection

import io.netty.handler.codec.http.HttpRequest

/**
 * A request that has been read completely from a caller.
 *
 * @property arrivedNanos monotonic time at which its head arrived
 */
public class CallerRequest(
    public val head: HttpRequest,
    public val body: ByteArray,
    public val arrivedNanos: Long,
)
