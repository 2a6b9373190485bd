package io.buckthornlever.api.serving

import kotlinx.serialization.Serializable

/**
 * Stored lease of the singleton duties; its holder alone may make the calls of [SingletonDuties].
 *
 * @property holder name of the instance that holds the lease; null after it has resigned
 * @property fencing fencing token; increases with each new holder
 * @property token unique value of each write
 * @property ttlMillis time from the write after which an unchanged lease expires, in milliseconds
 * @property firstCountedWindow index of the first usage window whose counts may be reported unless they are stored; null if there is no
 *   such limit. Earlier windows may have been reported with counts that the store has lost when it was restored from a copy.
 * @property reportedThrough index of the newest usage window that was reported together with all earlier ones; null if not known
 */
@Serializable
public data class StoredDutyLease(
    val holder: String?,
    val fencing: Long,
    val token: String,
    val ttlMillis: Long,
    val firstCountedWindow: Long? = null,
    val reportedThrough: Long? = null,
)
