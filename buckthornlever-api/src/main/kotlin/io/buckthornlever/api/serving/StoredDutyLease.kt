package io.buckthornlever.api.serving

import kotlinx.serialization.Serializable

/**
 * Content of the lease object of the singleton duties.
 *
 * @property holder name of the holding instance; null after it resigned
 * @property fencing grows with each holder
 * @property token unique per write
 * @property ttlMillis time from the write after which an unchanged record has expired, in milliseconds
 */
@Serializable
public data class StoredDutyLease(
    val holder: String?,
    val fencing: Long,
    val token: String,
    val ttlMillis: Long,
)
