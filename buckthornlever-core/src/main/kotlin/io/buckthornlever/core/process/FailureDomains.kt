package io.buckthornlever.core.process

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.PoolTable
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.api.request.WorkClass
import java.time.Duration
import java.time.Instant

/**
 * Upstreams and failure domains as one entry instance sees them. Not thread-safe: the control loop owns it and publishes limits.
 *
 * Stopping is local and immediate; a return starts at the cold limit of each upstream.
 */
public class FailureDomains : DomainPolicy {
    private val upstreams = sortedMapOf<UpstreamId, UpstreamLifecycle>()
    private val specs = HashMap<UpstreamId, UpstreamSpec>()
    private var out: Set<FailureDomain> = emptySet()
    private val reclaimedSince = sortedMapOf<FailureDomain, Instant>()
    private val announced = HashSet<UpstreamId>()
    private val probedAt = HashMap<UpstreamId, Instant>()

    override fun configure(
        table: PoolTable,
        now: Instant,
    ) {
        val listed = table.pools.flatMap { it.upstreams }.associateBy { it.id }
        upstreams.keys.retainAll(listed.keys)
        specs.clear()
        specs.putAll(listed)
        listed.forEach { (id, spec) -> upstreams.getOrPut(id) { UpstreamLifecycle(spec) }.reconfigure(spec) }
        val returned = out - table.domainsOut.toSet()
        out = table.domainsOut.toSet()
        members(returned).filterNot { it.value.away }.forEach { it.value.restart(now) }
    }

    override fun onEvent(
        upstream: UpstreamId,
        event: UpstreamEvent,
        now: Instant,
    ) {
        upstreams[upstream]?.on(event, now)
    }

    override fun tick(now: Instant): List<DomainCommand> {
        upstreams.values.forEach { it.tick(now) }
        findWaves(now)
        val stopped = upstreams.filterKeys { stopped(it) }
        val moves = stopped.filterKeys { announced.add(it) }.map { (id, life) -> DomainCommand.MoveWork(id, life.end) }
        announced.retainAll(stopped.keys)
        return moves + probes(now)
    }

    override fun limit(upstream: UpstreamId): Int {
        val life = upstreams[upstream] ?: return 0
        return if (stopped(upstream)) 0 else life.limit()
    }

    override fun admits(
        work: WorkClass,
        used: Int,
        available: Int,
    ): Boolean = used < available * reservedBelow(work)

    /** Whether [upstream] is stopped or bears less than its full load; false while nothing is known of it. */
    public fun isLimited(upstream: UpstreamId): Boolean {
        val life = upstreams[upstream] ?: return false
        return stopped(upstream) || life.known && life.phase != UpstreamPhase.LIVE
    }

    /** Phase of [upstream]; null when the pool table does not list it. */
    public fun phase(upstream: UpstreamId): UpstreamPhase? = upstreams[upstream]?.phase

    /** Phase of [domain]. */
    public fun phase(domain: FailureDomain): DomainPhase =
        when (domain) {
            in out -> DomainPhase.OUT
            in reclaimedSince -> DomainPhase.RECLAIMED
            else -> DomainPhase.IN
        }

    private fun stopped(id: UpstreamId): Boolean {
        val domain = specs.getValue(id).failureDomain
        return domain in out || domain in reclaimedSince || upstreams.getValue(id).away
    }

    private fun members(domains: Set<FailureDomain>): Map<UpstreamId, UpstreamLifecycle> =
        upstreams.filterKeys { specs.getValue(it).failureDomain in domains }

    /** A domain is in a reclaim wave while at least half of its upstreams, and at least two, are away. */
    private fun findWaves(now: Instant) {
        specs.values.groupBy { it.failureDomain }.forEach { (domain, members) ->
            val away = members.count { upstreams.getValue(it.id).away }
            val wave = away >= 2 && away * 2 >= members.size
            if (wave) reclaimedSince.putIfAbsent(domain, now)
            val began = reclaimedSince[domain] ?: return@forEach
            if (wave || now < began.plus(WAVE_HOLD)) return@forEach
            reclaimedSince.remove(domain)
            members(setOf(domain)).filterNot { it.value.away }.forEach { it.value.restart(now) }
        }
    }

    private fun probes(now: Instant): List<DomainCommand> {
        val due = upstreams.filter { (id, life) ->
            life.phase == UpstreamPhase.GONE &&
                probedAt[id]?.let { now < it.plus(PROBE_PERIOD) } != true
        }
        due.keys.forEach { probedAt[it] = now }
        return due.keys.map { DomainCommand.Probe(it) }
    }

    /** Share of the places that [work] may fill. Low-priority work is queued first, so that lookups find a place at once. */
    private fun reservedBelow(work: WorkClass): Double {
        val lost = upstreams.keys.any { stopped(it) }
        return when (work) {
            WorkClass.LONG -> if (lost) LONG_SHARE_DURING_LOSS else LONG_SHARE
            WorkClass.INTERACTIVE -> if (lost) INTERACTIVE_SHARE_DURING_LOSS else 1.0
            WorkClass.LOOKUP, WorkClass.NON_REPEATABLE -> 1.0
        }
    }

    private companion object {
        const val LONG_SHARE = 0.9
        const val LONG_SHARE_DURING_LOSS = 0.75
        const val INTERACTIVE_SHARE_DURING_LOSS = 0.9

        /** Upstreams of a wave come back one by one; the domain stays out until most have been back for a while. */
        val WAVE_HOLD: Duration = Duration.ofSeconds(10)
        val PROBE_PERIOD: Duration = Duration.ofSeconds(1)
    }
}
