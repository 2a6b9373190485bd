package io.buckthornlever.gateway.request

import io.buckthornlever.core.serving.AttemptEnd
import io.netty.handler.codec.http.HttpResponse

/** The request that an attempt belongs to. */
internal interface AttemptListener {
    /** The upstream began to run the request. */
    fun onExecutionStarted(attempt: Attempt)

    /** The head of a stream's answer has arrived. */
    fun onStreamHead(
        attempt: Attempt,
        response: HttpResponse,
    )

    /** Part of a stream has arrived. */
    fun onStreamData(
        attempt: Attempt,
        bytes: ByteArray,
    )

    /** The stream ended as complete. */
    fun onStreamCompleted(attempt: Attempt)

    /** The beginning of a successful answer that is too large to be kept until it is whole. */
    fun onLargeResponseStarted(
        attempt: Attempt,
        response: HttpResponse,
    )

    /** Part of a large answer has arrived. */
    fun onLargeResponseData(
        attempt: Attempt,
        bytes: ByteArray,
    )

    /** A large answer ended as complete. */
    fun onLargeResponseCompleted(attempt: Attempt)

    /** A whole answer that is no failure has arrived. */
    fun onResponse(
        attempt: Attempt,
        answer: BufferedResponse,
    )

    /** The attempt ended without a usable answer; [failure] is the upstream's own answer if it sent one. */
    fun onFailed(
        attempt: Attempt,
        end: AttemptEnd,
        failure: BufferedResponse?,
    )
}
