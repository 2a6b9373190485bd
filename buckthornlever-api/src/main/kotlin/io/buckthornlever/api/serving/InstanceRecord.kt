package io.buckthornlever.api.serving

import io.buckthornlever.api.process.FailureDomain
import kotlinx.serialization.Serializable

/**
 * Registration of an entry instance, with the address at which its peers reach it.
 *
 * @property peerPort port of the protocol between entry instances
 * @property domain failure domain in which it runs; null when the record was written by a release without this field
 * @property linkMegabits bandwidth of its network link in megabits per second; 0 when unknown
 * @property protocol version of the messages that it exchanges with its peers; 0 when its release does not state one
 */
@Serializable
public data class InstanceRecord(
    val name: String,
    val host: String,
    val peerPort: Int,
    val domain: FailureDomain? = null,
    val linkMegabits: Double = 0.0,
    val protocol: Int = 0,
)
