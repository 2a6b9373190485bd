package io.buckthornlever.core.serving

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.core.process.LimitPartition

/**
 * Limits requests to cold upstreams by dividing the rate that each of them can take among the instances. When there are more
 * instances than requests per second, only as many instances as requests per second may send to an upstream. Not thread-safe.
 *
 * @param startNanos monotonic time at which this process started; an earlier process may have sent until then
 */
public class ColdRateLimiter(
    private val self: InstanceId,
    private val startNanos: Long,
) {
    private val nextSend = HashMap<UpstreamId, Long>()

    /** All live instances, this one included; empty until they are known. */
    public var instances: Set<InstanceId> = emptySet()

    /** True when this instance may send a request to the cold [upstream], which can take [perSecond] requests per second in total. */
    public fun permits(
        upstream: UpstreamId,
        perSecond: Double,
        nanos: Long,
    ): Boolean {
        val ownRate = ownRate(upstream, perSecond)
        return ownRate > 0 && nanos >= (nextSend[upstream] ?: (startNanos + NANOS_PER_SECOND / ownRate))
    }

    /** Counts a request sent to [upstream] at [nanos]. */
    public fun onSent(
        upstream: UpstreamId,
        perSecond: Double,
        nanos: Long,
    ) {
        nextSend[upstream] = nanos + NANOS_PER_SECOND / maxOf(1, ownRate(upstream, perSecond))
    }

    /** Drops the state of [upstream]. */
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
