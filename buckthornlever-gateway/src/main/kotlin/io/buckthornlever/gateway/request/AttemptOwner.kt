package io.buckthornlever.gateway.request

import io.buckthornlever.core.serving.AttemptEnd
import io.netty.handler.codec.http.HttpResponse

/** The request that an attempt belongs to. */
internal interface AttemptOwner {
    /** The upstream began to run the request. */
    fun began(attempt: Attempt)

    /** The head of a stream's answer has arrived. */
    fun streamStarted(
        attempt: Attempt,
        response: HttpResponse,
    )

    /** Part of a stream has arrived. */
    fun streamData(
        attempt: Attempt,
        bytes: ByteArray,
    )

    /** The stream ended as complete. */
    fun streamEnded(attempt: Attempt)

    /** The beginning of a successful answer that is too large to be kept until it is whole. */
    fun largeStarted(
        attempt: Attempt,
        response: HttpResponse,
    )

    /** Part of a large answer has arrived. */
    fun largeData(
        attempt: Attempt,
        bytes: ByteArray,
    )

    /** A large answer ended as complete. */
    fun largeEnded(attempt: Attempt)

    /** A whole answer that is no failure has arrived. */
    fun answered(
        attempt: Attempt,
        answer: StoredAnswer,
    )

    /** The attempt ended without a usable answer; [failure] is the upstream's own answer if it sent one. */
    fun ended(
        attempt: Attempt,
        end: AttemptEnd,
        failure: StoredAnswer?,
    )
}
