package io.buckthornlever.core.process

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.InstanceId

/**
 * Divides an integer limit among entry instances so that the shares add up to the limit. The remainder of the division (the whole
 * limit if it is smaller than the number of instances) goes to instances chosen by rendezvous hashing. A share never shrinks when
 * the limit grows, so instances with different views of the limit together stay within the largest one.
 */
public object LimitPartition {
    /** Share of [self] in [limit] on [upstream]; 0 when [self] is not in [live], the set of live instances. */
    public fun share(
        limit: Int,
        upstream: UpstreamId,
        self: InstanceId,
        live: Collection<InstanceId>,
    ): Int {
        if (limit <= 0 || self !in live) return 0
        val rank = live.count { other -> other != self && compareValuesBy(other, self, { -weight(upstream, it) }, { it.value }) < 0 }
        return limit / live.size + if (rank < limit % live.size) 1 else 0
    }

    private fun weight(
        upstream: UpstreamId,
        instance: InstanceId,
    ): Long = mix(upstream.value.hashCode().toLong() shl 32 xor (instance.value.hashCode().toLong() and 0xffffffffL))

    /** Finaliser of SplitMix64; distributes similar names over the whole range. */
    private fun mix(seed: Long): Long {
        var z = seed + -0x61c8864680b583ebL
        z = (z xor (z ushr 30)) * -0x40a7b892e31b1a47L
        z = (z xor (z ushr 27)) * -0x6b2fb644ecceee15L
        return z xor (z ushr 31)
    }
}
