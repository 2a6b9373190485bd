package io.buckthornlever.core.serving

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.core.process.LimitPartition

/**
 * Divides the request rate that cold upstreams bear among the instances. With more instances than requests per second, each
 * upstream's requests belong to as many owners as it bears requests. Not thread-safe.
 */
public class ColdRateLimiter(
    private val self: InstanceId,
) {
    private val nextSend = HashMap<UpstreamId, Long>()

    /** All live instances, this one included. */
    public var instances: Set<InstanceId> = setOf(self)

    /** True when this instance may send a request to the cold [upstream], which bears [perSecond] requests per second. */
    public fun permits(
        upstream: UpstreamId,
        perSecond: Double,
        nanos: Long,
    ): Boolean = ownRate(upstream, perSecond) > 0 && nanos >= (nextSend[upstream] ?: nanos)

    /** Counts a request that is sent to [upstream] now. */
    public fun onSent(
        upstream: UpstreamId,
        perSecond: Double,
        nanos: Long,
    ) {
        nextSend[upstream] = nanos + NANOS_PER_SECOND / maxOf(1, ownRate(upstream, perSecond))
    }

    /** Forgets [upstream]. */
    public fun remove(upstream: UpstreamId) {
        nextSend.remove(upstream)
    }

    private fun ownRate(
        upstream: UpstreamId,
        perSecond: Double,
    ): Int = LimitPartition.share(perSecond.toInt(), upstream, self, instances)

    private companion object {
        const val NANOS_PER_SECOND = 1_000_000_000L
    }
}
