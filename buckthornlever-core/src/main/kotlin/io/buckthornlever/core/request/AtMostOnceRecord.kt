package io.buckthornlever.core.request

import kotlinx.serialization.Serializable

/**
 * Stored value of `once/<account>/<sha256(key)>`.
 *
 * @property token identifier of the submission that wrote the record; shows its writer that a write with a lost answer took effect
 * @property bodySha256 hash of method, path and body; a different hash under the same key is a conflict
 * @property createdAtMillis wall-clock time of the submission, in milliseconds
 */
@Serializable
public data class AtMostOnceRecord(
    val token: String,
    val bodySha256: String,
    val createdAtMillis: Long,
    val state: AtMostOnceState = AtMostOnceState.PENDING,
    val outcome: AtMostOnceOutcome? = null,
)
