package io.buckthornlever.core.request

import io.buckthornlever.api.process.Pool
import io.buckthornlever.api.version.VersionLabel

/**
 * Index of one pool for upstream selection.
 *
 * @property exclusions number of upstreams that the configuration excludes, by reason
 */
internal class PoolIndex(
    val pool: Pool,
    val groups: List<VersionGroup>,
    val exclusions: List<PoolExclusion>,
) {
    private var hasConfiguredWeights = false

    /** Number of upstreams that the configuration allows. */
    val size: Int = groups.sumOf { group -> group.tiers.sumOf { it.size } }

    var shares: VersionShares = VersionShares(defaultWeights())
        private set

    /**
     * Sets the weights per version; a missing version gets weight 0. Null restores the default weights: all versions by
     * capacity, or only the version that is replaced while the pool has a version move.
     */
    fun setWeights(weights: Map<VersionLabel, Double>?) {
        hasConfiguredWeights = weights != null
        val values = if (weights == null) defaultWeights() else DoubleArray(groups.size) { weights[groups[it].version] ?: 0.0 }
        shares = shares.withWeights(values)
    }

    /** Takes over the version credits of [previous], the index of the same pool under the previous configuration. */
    fun inheritCredits(previous: PoolIndex) {
        if (groups.map { it.version } == previous.groups.map { it.version }) shares = previous.shares.withWeights(defaultWeights())
    }

    /**
     * True if requests for version [chosen] may overflow to version [other] for lack of capacity. With configured weights, [other]
     * must have at least the weight of [chosen], since a small weight limits the traffic of an unproven version.
     */
    fun mayOverflow(
        chosen: Int,
        other: Int,
    ): Boolean = chosen != other && shares.share(other) > 0 && (!hasConfiguredWeights || shares.share(other) >= shares.share(chosen))

    private fun defaultWeights(): DoubleArray {
        val moveSource = pool.move?.from
        val capacities = DoubleArray(groups.size)
        val byVersion = pool.upstreams.groupBy { it.version }
        groups.forEachIndexed { index, group ->
            val receivesTraffic = moveSource == null || group.version == moveSource
            if (receivesTraffic) capacities[index] = byVersion[group.version].orEmpty().sumOf { it.concurrency }.toDouble()
        }
        return capacities
    }
}
