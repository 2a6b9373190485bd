package io.buckthornlever.bench.process

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.PoolTable
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.api.request.WorkClass
import io.buckthornlever.core.process.DomainCommand
import io.buckthornlever.core.process.DomainPolicy
import io.buckthornlever.core.process.UpstreamEvent
import java.time.Instant

/** Naive baseline: an upstream that answers may have its full load at once, and all work is treated alike. */
internal class ImmediateReturn : DomainPolicy {
    private val specs = HashMap<UpstreamId, UpstreamSpec>()
    private val away = HashSet<UpstreamId>()
    private var out: Set<FailureDomain> = emptySet()

    override fun configure(
        table: PoolTable,
        now: Instant,
    ) {
        table.pools.flatMap { it.upstreams }.forEach { specs[it.id] = it }
        out = table.domainsOut.toSet()
    }

    override fun onEvent(
        upstream: UpstreamId,
        event: UpstreamEvent,
        now: Instant,
    ) {
        when (event) {
            UpstreamEvent.Failed, UpstreamEvent.Unlisted -> away.add(upstream)
            is UpstreamEvent.ReclaimNotice -> away.add(upstream)
            is UpstreamEvent.Reported, UpstreamEvent.Answered -> away.remove(upstream)
            is UpstreamEvent.Listed, UpstreamEvent.Refused -> Unit
        }
    }

    override fun tick(now: Instant): List<DomainCommand> = emptyList()

    override fun limit(upstream: UpstreamId): Int {
        val spec = specs.getValue(upstream)
        return if (upstream in away || spec.failureDomain in out) 0 else spec.concurrency
    }

    override fun admits(
        work: WorkClass,
        used: Int,
        available: Int,
    ): Boolean = true
}
