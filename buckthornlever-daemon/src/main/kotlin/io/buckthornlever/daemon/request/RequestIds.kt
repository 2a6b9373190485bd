package io.buckthornlever.daemon.request

import io.buckthornlever.api.request.RequestId
import java.util.UUID

/** Creates and validates request ids. */
internal object RequestIds {
    private val ALLOWED = Regex("[A-Za-z0-9._-]{1,64}")

    /** Returns the caller's own id if it is well formed, otherwise a new one. */
    fun fromCaller(given: String?): RequestId = RequestId(given?.takeIf(ALLOWED::matches) ?: UUID.randomUUID().toString())

    /** Returns an id for attempt [number] of [request] on this instance; it is unique even when a caller reuses a request id. */
    fun attemptId(
        request: RequestId,
        number: Int,
    ): RequestId = RequestId("${request.value}~$number~${UUID.randomUUID().toString().take(SUFFIX_LENGTH)}")

    private const val SUFFIX_LENGTH = 8
}
