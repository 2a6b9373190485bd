package io.buckthornlever.core.request

import io.buckthornlever.api.process.Pool
import io.buckthornlever.api.version.VersionLabel

/**
 * One pool prepared for selection.
 *
 * @property exclusions upstreams that the tables keep out, counted by reason
 */
internal class PoolIndex(
    val pool: Pool,
    val groups: List<VersionGroup>,
    val exclusions: List<PoolExclusion>,
) {
    private var hasConfiguredWeights = false

    /** Upstreams that the tables allow. */
    val size: Int = groups.sumOf { group -> group.tiers.sumOf { it.size } }

    var shares: VersionShares = VersionShares(defaultWeights())
        private set

    /**
     * Sets the weights per version; a version that is missing gets none. Null returns to the assumed weights: all versions by
     * capacity, or only the old one while a move is planned.
     */
    fun setWeights(weights: Map<VersionLabel, Double>?) {
        hasConfiguredWeights = weights != null
        val values = if (weights == null) defaultWeights() else DoubleArray(groups.size) { weights[groups[it].version] ?: 0.0 }
        shares = shares.withWeights(values)
    }

    /** Continues with the credits of [earlier], the index of the same pool under the previous tables. */
    fun inheritCredits(previous: PoolIndex) {
        if (groups.map { it.version } == previous.groups.map { it.version }) shares = previous.shares.withWeights(defaultWeights())
    }

    /**
     * True when requests for version [chosen] may use [other] for lack of capacity. With given weights only a version with at
     * least the same weight may help out, since a small weight bounds the traffic of an unproven version.
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
