package io.buckthornlever.api.serving

import io.buckthornlever.api.process.FailureDomain
import kotlinx.serialization.Serializable

/**
 * Address of an entry instance for messages from its peers.
 *
 * @property domain failure domain that it runs in; null when an earlier release wrote the record
 * @property linkMegabits bandwidth of its network link in megabits per second; 0 when unknown
 */
@Serializable
public data class InstanceRecord(
    val name: String,
    val host: String,
    val peerPort: Int,
    val domain: FailureDomain? = null,
    val linkMegabits: Double = 0.0,
)
