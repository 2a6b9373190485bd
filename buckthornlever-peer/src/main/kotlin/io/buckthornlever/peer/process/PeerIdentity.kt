package io.buckthornlever.peer.process

import io.buckthornlever.api.process.InstanceId

/**
 * Who sends.
 *
 * @property site name of the site; messages of other sites are dropped
 * @property incarnation start time of the process in milliseconds; exceeds that of an earlier process with the same [id]
 */
public data class PeerIdentity(
    val site: String,
    val id: InstanceId,
    val incarnation: Long,
)
