package io.buckthornlever.peer.process

import io.buckthornlever.api.process.InstanceId
import java.util.concurrent.ConcurrentHashMap

/**
 * Supported protocol versions, [min] to [max], and the highest version known to be supported by each peer. The first message to a peer
 * uses [min]. Every message carries the highest version of its sender, so that both sides then use the highest common version.
 */
public class ProtocolVersions(
    public val min: Int = FIRST,
    public val max: Int = CURRENT,
) {
    private val highestByPeer = ConcurrentHashMap<InstanceId, Int>()

    init {
        require(min in 1..max) { "protocol versions $min to $max are not a valid range" }
    }

    /** Records that [peer] supports versions up to [version]. */
    public fun updatePeer(peer: InstanceId, version: Int) {
        if (highestByPeer.size < MAX_PEERS || highestByPeer.containsKey(peer)) highestByPeer[peer] = version
    }

    /** Returns the version to use for messages to [peer]. */
    public fun versionFor(peer: InstanceId): Int = (highestByPeer[peer] ?: min).coerceIn(min, max)

    /** Returns true if this instance supports [version]. */
    public fun supports(version: Int): Boolean = version in min..max

    public companion object {
        /** First version of the protocol. */
        public const val FIRST: Int = 1

        /** Highest version that this release supports. */
        public const val CURRENT: Int = 1

        private const val MAX_PEERS = 8_192
    }
}
