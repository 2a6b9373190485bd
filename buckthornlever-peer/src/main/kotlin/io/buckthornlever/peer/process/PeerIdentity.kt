package io.buckthornlever.peer.process

import io.buckthornlever.api.process.InstanceId

/**
 * Identity of a sending process.
 *
 * @property site name of the site; messages from other sites are dropped
 * @property incarnation start time of the process in milliseconds; greater than that of any earlier process with the same [id]
 */
public data class PeerIdentity(
    val site: String,
    val id: InstanceId,
    val incarnation: Long,
)
