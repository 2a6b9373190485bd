package io.buckthornlever.daemon.version

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.Pool
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.api.version.VersionLabel
import io.buckthornlever.core.request.CandidateSelector
import io.buckthornlever.core.request.SelectionQuery
import io.buckthornlever.core.version.VersionSelector
import io.buckthornlever.core.version.VersionWeights

/** Lets [inner] choose only among upstreams of the version that the request's share of a version move falls to. */
internal class MoveSelector(
    self: InstanceId,
    private val inner: CandidateSelector,
    private val snapshot: () -> TrafficSnapshot,
) : CandidateSelector {
    private val picker = VersionSelector(self)

    override fun select(query: SelectionQuery): UpstreamSpec? {
        val moving = query.route.pools.filter { name -> query.pools.pools.any { it.name == name && it.move != null } }
        if (moving.isEmpty()) return inner.select(query)
        val weights = snapshot().weights
        val picked = query.pools.pools.map { pool -> if (pool.name in moving) restrict(pool, query, weights[pool.name]) else pool }
        val chosen = inner.select(query.copy(pools = query.pools.copy(pools = picked)))
        // Without a free upstream of the new version the old one takes the request, never the other way round.
        return chosen ?: inner.select(query.copy(pools = query.pools.copy(pools = query.pools.pools.map { onlyOld(it, weights[it.name]) })))
    }

    private fun restrict(
        pool: Pool,
        query: SelectionQuery,
        weights: VersionWeights?,
    ): Pool {
        val move = pool.move ?: return pool
        val version = if (weights == null) move.from else pick(pool, query, weights)
        return pool.copy(versions = listOf(version))
    }

    private fun pick(
        pool: Pool,
        query: SelectionQuery,
        weights: VersionWeights,
    ): VersionLabel = synchronized(picker) { picker.select(pool.name, query.route.name, weights) }

    private fun onlyOld(
        pool: Pool,
        weights: VersionWeights?,
    ): Pool = pool.move?.let { pool.copy(versions = listOf(weights?.old ?: it.from)) } ?: pool
}
