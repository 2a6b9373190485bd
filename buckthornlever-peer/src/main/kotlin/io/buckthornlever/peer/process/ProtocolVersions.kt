package io.buckthornlever.peer.process

import io.buckthornlever.api.process.InstanceId
import java.util.concurrent.ConcurrentHashMap

/**
 * Protocol versions from [min] to [max], and the highest one known of each peer. The first message to a peer uses [min]; every
 * message tells the sender's highest, so that both soon use the highest common version.
 */
public class ProtocolVersions(
    public val min: Int = FIRST,
    public val max: Int = CURRENT,
) {
    private val highestByPeer = ConcurrentHashMap<InstanceId, Int>()

    init {
        require(min in 1..max) { "versions $min to $max are not a range" }
    }

    /** Records that [peer] speaks versions up to [version]. */
    public fun updatePeer(peer: InstanceId, version: Int) {
        if (highestByPeer.size < MAX_PEERS || highestByPeer.containsKey(peer)) highestByPeer[peer] = version
    }

    /** Version for messages to [peer]. */
    public fun versionFor(peer: InstanceId): Int = (highestByPeer[peer] ?: min).coerceIn(min, max)

    /** True when this instance understands [version]. */
    public fun supports(version: Int): Boolean = version in min..max

    public companion object {
        /** First version of the protocol. */
        public const val FIRST: Int = 1

        /** Version of this program. */
        public const val CURRENT: Int = 1

        private const val MAX_PEERS = 8_192
    }
}
