package io.buckthornlever.core.request

import io.buckthornlever.api.process.Pool
import io.buckthornlever.api.process.PoolTable
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.core.connection.UpstreamStatus
import io.buckthornlever.core.connection.UpstreamStatusView

/** Chooses the least loaded upstream of the first pool with a usable one. Scans every upstream of a pool. */
public class LeastLoadedSelector(
    private val statuses: UpstreamStatusView,
) : CandidateSelector {
    override fun select(query: SelectionQuery): UpstreamSpec? =
        query.route.pools
            .asSequence()
            .mapNotNull { name -> query.pools.pools.find { it.name == name } }
            .mapNotNull { pool -> leastLoaded(pool, query) }
            .firstOrNull()

    private fun leastLoaded(
        pool: Pool,
        query: SelectionQuery,
    ): UpstreamSpec? =
        pool.upstreams
            .filter { allowed(it, pool, query.pools) && it.id !in query.excluded }
            .map { it to statuses.statusOf(it) }
            .filter { (_, status) -> usable(status) }
            .minByOrNull { (_, status) -> relativeLoad(status) }
            ?.first

    private fun allowed(
        upstream: UpstreamSpec,
        pool: Pool,
        table: PoolTable,
    ): Boolean {
        if (upstream.failureDomain in table.domainsOut) return false
        if (pool.failureDomains.isNotEmpty() && upstream.failureDomain !in pool.failureDomains) return false
        return pool.versions.isEmpty() || upstream.version in pool.versions
    }

    private fun usable(status: UpstreamStatus): Boolean = status.healthy && !status.leaving && status.inFlight < status.capacity

    private fun relativeLoad(status: UpstreamStatus): Double =
        (status.inFlight + status.reportedLoad).toDouble() / maxOf(1, status.capacity)
}
