package io.buckthornlever.core.request

import kotlinx.serialization.Serializable

/**
 * Answer of a service to a non-repeatable call, as recorded for replays.
 *
 * @property bodyBase64 body of the answer; null when it was too large for the record
 */
@Serializable
public data class AtMostOnceOutcome(
    val status: Int,
    val contentType: String? = null,
    val bodyBase64: String? = null,
)
