package io.buckthornlever.api.serving

import kotlinx.serialization.Serializable

/**
 * Stored lease of the singleton duties; its holder alone may make the calls of [SingletonDuties].
 *
 * @property holder name of the instance that holds the lease; null after it has resigned
 * @property fencing fencing token; increases with each new holder
 * @property token unique value of each write
 * @property ttlMillis time from the write after which an unchanged lease expires, in milliseconds
 */
@Serializable
public data class StoredDutyLease(
    val holder: String?,
    val fencing: Long,
    val token: String,
    val ttlMillis: Long,
)
