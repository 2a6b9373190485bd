package io.buckthornlever.gateway.request

import io.buckthornlever.gateway.connection.CallerRequest
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpVersion

/** Requests to upstreams. */
internal object UpstreamRequests {
    /** Creates the request that is sent to the upstream of [target] for [request]. */
    fun create(
        protocol: CallerProtocol,
        request: CallerRequest,
        target: ForwardTarget,
    ): FullHttpRequest {
        val source = request.head
        val headers = protocol.upstreamHeaders(source, target)
        val hasBody = request.body.isNotEmpty() || source.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
        if (hasBody) headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body.size)
        val content = Unpooled.wrappedBuffer(request.body)
        return DefaultFullHttpRequest(HttpVersion.HTTP_1_1, source.method(), source.uri(), content, headers, EmptyHttpHeaders.INSTANCE)
    }
}
