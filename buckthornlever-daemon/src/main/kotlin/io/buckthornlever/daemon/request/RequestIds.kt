package io.buckthornlever.daemon.request

import io.buckthornlever.api.request.RequestId
import java.util.UUID

/** Makes and checks request ids. */
internal object RequestIds {
    private val ALLOWED = Regex("[A-Za-z0-9._-]{1,64}")

    /** The caller's own id if it is well formed, else a new one. */
    fun fromCaller(given: String?): RequestId = RequestId(given?.takeIf(ALLOWED::matches) ?: UUID.randomUUID().toString())

    /** Id of attempt [number] of [request] on this instance; unique even when a caller uses an id twice. */
    fun attemptId(
        request: RequestId,
        number: Int,
    ): RequestId = RequestId("${request.value}~$number~${UUID.randomUUID().toString().take(SUFFIX_LENGTH)}")

    private const val SUFFIX_LENGTH = 8
}
