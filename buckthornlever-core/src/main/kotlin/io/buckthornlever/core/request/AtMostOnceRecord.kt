package io.buckthornlever.core.request

import kotlinx.serialization.Serializable

/**
 * Value of `once/<account>/<sha256(key)>`.
 *
 * @property token identity of the submission that wrote the record; tells its writer that a lost write took effect
 * @property bodySha256 hash of method, path and body; another hash under the same key is a conflict
 * @property createdAtMillis wall-clock time of the submission
 */
@Serializable
public data class AtMostOnceRecord(
    val token: String,
    val bodySha256: String,
    val createdAtMillis: Long,
    val state: AtMostOnceState = AtMostOnceState.PENDING,
    val outcome: AtMostOnceOutcome? = null,
)
