package io.buckthornlever.gateway.connection

import io.netty.handler.codec.http.HttpRequest

/**
 * A request that has been read completely from a caller.
 *
 * @property arrivedNanos monotonic time at which its head arrived
 * @property headBytes memory that its head takes
 */
public class CallerRequest(
    public val head: HttpRequest,
    public val body: ByteArray,
    public val arrivedNanos: Long,
    public val headBytes: Int = 0,
) {
    /** Memory that the request takes. */
    internal val heldBytes: Long get() = headBytes + body.size.toLong()
}
