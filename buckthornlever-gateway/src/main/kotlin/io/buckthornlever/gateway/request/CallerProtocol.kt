package io.buckthornlever.gateway.request

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse

/** Translates the heads of requests and responses between the wire format and the types of the gateway. */
public interface CallerProtocol {
    /** Decodes the head of a caller's request. */
    public fun decodeRequest(request: HttpRequest): CallerRequestHead

    /** Returns the headers of [request] to send to the upstream of [target]. */
    public fun upstreamHeaders(
        request: HttpRequest,
        target: ForwardTarget,
    ): HttpHeaders

    /** Decodes the head of an upstream's response. */
    public fun decodeResponse(response: HttpResponse): UpstreamResponseHead

    /** Decodes the headers of an answer to a health check; null if they don't say whose load it is. */
    public fun decodeHealth(headers: HttpHeaders): UpstreamHealth?

    /** Returns the headers of an upstream's response to send to the caller. */
    public fun callerHeaders(response: HttpResponse): HttpHeaders
}
