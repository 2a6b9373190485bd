package io.buckthornlever.gateway.request

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse

/** Translates the heads of requests and answers between the wire and the gateway. */
public interface CallerProtocol {
    /** Reads the head of a caller's request. */
    public fun decodeRequest(request: HttpRequest): CallerRequestHead

    /** Headers of [request] as they go to an upstream. */
    public fun upstreamHeaders(
        request: HttpRequest,
        target: ForwardTarget,
    ): HttpHeaders

    /** Reads the head of an upstream's answer. */
    public fun decodeResponse(response: HttpResponse): UpstreamResponseHead

    /** Headers of an upstream's answer as they go to the caller. */
    public fun callerHeaders(response: HttpResponse): HttpHeaders
}
