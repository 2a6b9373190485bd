package io.buckthornlever.api.process

import kotlinx.serialization.Serializable

/**
 * An entry of the platform's lagging list of instances.
 *
 * @property peerPort port of the protocol between entry instances; 0 for other roles
 * @property leaving true once the platform has announced the end of the instance
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
