package io.buckthornlever.core.serving

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.InstanceId
import java.time.Duration
import java.time.Instant
import kotlin.math.floor

/**
 * Divides the request rate that an upstream takes from all instances together. Every instance sends at an even share of the rate while
 * there are few instances. Since even one request of each could be too many at once, of many instances only a few have a turn at a time,
 * the same ones by the clock of each instance. Not thread-safe.
 */
public class StatedRateShares(
    private val self: InstanceId,
) {
    private val ranks = HashMap<UpstreamId, Int>()

    /** All live instances, this one included; empty until they are known. */
    public var instances: Set<InstanceId> = emptySet()
        set(value) {
            field = value
            ranks.clear()
        }

    /**
     * Shortest time between two requests of this instance to [upstream], which takes [perSecond] requests per second; null while this
     * instance has to leave the upstream to others.
     */
    public fun interval(
        upstream: UpstreamId,
        perSecond: Double,
        now: Instant,
    ): Duration? {
        val count = instances.size
        if (self !in instances) return null
        val rate = USED_FRACTION * maxOf(perSecond, MIN_PER_SECOND)
        if (count <= floor(2 * perSecond) + FEW_INSTANCES) return intervalOf(count, rate)
        val concurrent = floor(perSecond).toInt() + 1
        val turn = now.toEpochMilli() / TURN.toMillis()
        val place = Math.floorMod(rank(upstream) - turn * concurrent, count.toLong())
        return if (place < concurrent) intervalOf(concurrent, rate) else null
    }

    /** Drops the state of [upstream]. */
    public fun remove(upstream: UpstreamId) {
        ranks.remove(upstream)
    }

    private fun intervalOf(
        sharing: Int,
        rate: Double,
    ): Duration = Duration.ofNanos((sharing / rate * NANOS_PER_SECOND).toLong())

    private fun rank(upstream: UpstreamId): Int =
        ranks.getOrPut(upstream) {
            val key = StableHash.of(upstream.value)
            val own = StableHash.combine(key, StableHash.of(self.value))
            instances.count { it != self && StableHash.combine(key, StableHash.of(it.value)) < own }
        }

    private companion object {
        const val NANOS_PER_SECOND = 1e9

        /** The rest covers requests that are delayed on their way, and clocks that differ. */
        const val USED_FRACTION = 0.9

        /** Rate at which an upstream that takes nothing is still asked whether that has changed. */
        const val MIN_PER_SECOND = 0.25

        /** Instances beyond twice the requests per second of which each may send one request at the same moment. */
        const val FEW_INSTANCES = 3

        /** As long as the time over which upstreams are expected to measure what they get. */
        val TURN: Duration = Duration.ofSeconds(4)
    }
}
