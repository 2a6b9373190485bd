package io.buckthornlever.gateway.request

import io.buckthornlever.core.serving.AttemptEnd
import io.netty.handler.codec.http.HttpResponse

/** Callbacks of an [Attempt] to the request that it belongs to. */
internal interface AttemptListener {
    /** The upstream has started to execute the request. */
    fun onExecutionStarted(attempt: Attempt)

    /** The response head of a stream has arrived. */
    fun onStreamHead(
        attempt: Attempt,
        response: HttpResponse,
    )

    /** Part of the body of a stream has arrived. */
    fun onStreamData(
        attempt: Attempt,
        bytes: ByteArray,
    )

    /** The response of a stream is complete. */
    fun onStreamCompleted(attempt: Attempt)

    /** A successful response is too large to be buffered; its body, from the beginning, follows in parts. */
    fun onLargeResponseStarted(
        attempt: Attempt,
        response: HttpResponse,
    )

    /** Part of the body of a large response has arrived. */
    fun onLargeResponseData(
        attempt: Attempt,
        bytes: ByteArray,
    )

    /** A large response is complete. */
    fun onLargeResponseCompleted(attempt: Attempt)

    /** A complete response that is not a failure has arrived. */
    fun onResponse(
        attempt: Attempt,
        response: BufferedResponse,
    )

    /** The attempt ended without a usable response; [failure] is the upstream's own failure response, if it sent one. */
    fun onFailed(
        attempt: Attempt,
        end: AttemptEnd,
        failure: BufferedResponse?,
    )
}
