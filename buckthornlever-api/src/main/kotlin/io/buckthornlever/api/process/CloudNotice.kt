package io.buckthornlever.api.process

import kotlinx.serialization.Serializable

/**
 * Notice that the cloud will reclaim an instance.
 *
 * @property sequence position in the stream of notices
 * @property reclaimAt when the instance ends, as ISO-8601 instant
 */
@Serializable
public data class CloudNotice(
    val sequence: Long,
    val instanceId: String,
    val reclaimAt: String,
)
