package io.buckthornlever.core.process.lease

import io.buckthornlever.api.process.InstanceId
import kotlinx.serialization.Serializable

/**
 * Content of the stored object `leases/<name>`.
 *
 * @property holder null after the holder resigned
 * @property fencing fencing token; increases with each holder
 * @property token unique per write; lets a writer whose response was lost find out whether the write took effect
 * @property ttlMillis time from the write after which an unchanged record has expired, in milliseconds
 */
@Serializable
public data class LeaseRecord(
    val holder: InstanceId?,
    val fencing: Long,
    val token: String,
    val ttlMillis: Long,
)
