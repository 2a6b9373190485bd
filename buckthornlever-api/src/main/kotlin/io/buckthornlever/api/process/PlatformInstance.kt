package io.buckthornlever.api.process

import kotlinx.serialization.Serializable

/**
 * An entry of the platform's [InstanceList].
 *
 * @property peerPort port of the protocol between entry instances; 0 for instances of other roles
 * @property leaving true once the platform has announced that the instance will end
 */
@Serializable
public data class PlatformInstance(
    val id: InstanceId,
    val address: String,
    val peerPort: Int,
    val failureDomain: FailureDomain,
    val role: String,
    val leaving: Boolean = false,
)
