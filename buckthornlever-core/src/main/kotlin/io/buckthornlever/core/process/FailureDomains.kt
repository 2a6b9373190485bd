package io.buckthornlever.core.process

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.PoolTable
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.api.request.WorkClass
import java.time.Duration
import java.time.Instant

/**
 * State of upstreams and failure domains as one entry instance sees it. Not thread-safe: the control loop owns it and publishes the
 * limits.
 *
 * Taking a domain or upstream out of service is a local decision with immediate effect; on its return each upstream restarts at its
 * cold limit.
 */
public class FailureDomains : DomainPolicy {
    private val upstreams = sortedMapOf<UpstreamId, UpstreamLifecycle>()
    private val specs = HashMap<UpstreamId, UpstreamSpec>()
    private var domainsOut: Set<FailureDomain> = emptySet()
    private val reclaimedSince = sortedMapOf<FailureDomain, Instant>()
    private val drainCommanded = HashSet<UpstreamId>()
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
        val returned = domainsOut - table.domainsOut.toSet()
        domainsOut = table.domainsOut.toSet()
        upstreamsIn(returned).filterNot { it.value.isUnavailable }.forEach { it.value.restart(now) }
    }

    override fun onEvent(
        upstream: UpstreamId,
        event: UpstreamEvent,
        now: Instant,
    ) {
        upstreams[upstream]?.onEvent(event, now)
    }

    override fun tick(now: Instant): List<DomainCommand> {
        upstreams.values.forEach { it.tick(now) }
        updateReclaimWaves(now)
        val stopped = upstreams.filterKeys { isStopped(it) }
        val drains = stopped.filterKeys { drainCommanded.add(it) }.map { (id, state) -> DomainCommand.Drain(id, state.announcedEnd) }
        drainCommanded.retainAll(stopped.keys)
        return drains + probeCommands(now)
    }

    override fun limit(upstream: UpstreamId): Int {
        val lifecycle = upstreams[upstream] ?: return 0
        return if (isStopped(upstream)) 0 else lifecycle.limit()
    }

    override fun admits(
        work: WorkClass,
        used: Int,
        available: Int,
    ): Boolean = used < available * maxOccupancy(work)

    /** Whether [upstream] takes no new requests or less than its full load; false while nothing is known of it. */
    public fun isLimited(upstream: UpstreamId): Boolean {
        val lifecycle = upstreams[upstream] ?: return false
        return isStopped(upstream) || lifecycle.hasReported && lifecycle.phase != UpstreamPhase.LIVE
    }

    /** Phase of [upstream]; null when the pool table does not list it. */
    public fun phase(upstream: UpstreamId): UpstreamPhase? = upstreams[upstream]?.phase

    /** Phase of [domain]. */
    public fun phase(domain: FailureDomain): DomainPhase =
        when (domain) {
            in domainsOut -> DomainPhase.OUT
            in reclaimedSince -> DomainPhase.RECLAIMED
            else -> DomainPhase.IN
        }

    private fun isStopped(id: UpstreamId): Boolean {
        val domain = specs.getValue(id).failureDomain
        return domain in domainsOut || domain in reclaimedSince || upstreams.getValue(id).isUnavailable
    }

    private fun upstreamsIn(domains: Set<FailureDomain>): Map<UpstreamId, UpstreamLifecycle> =
        upstreams.filterKeys { specs.getValue(it).failureDomain in domains }

    /**
     * A domain is in a reclaim wave while at least half of its upstreams, and at least two, are unavailable. The wave ends
     * [RECLAIM_WAVE_HOLD] after it began at the earliest; the upstreams that are available then restart at their cold limits.
     */
    private fun updateReclaimWaves(now: Instant) {
        specs.values.groupBy { it.failureDomain }.forEach { (domain, members) ->
            val unavailable = members.count { upstreams.getValue(it.id).isUnavailable }
            val inWave = unavailable >= 2 && unavailable * 2 >= members.size
            if (inWave) reclaimedSince.putIfAbsent(domain, now)
            val waveBegan = reclaimedSince[domain] ?: return@forEach
            if (inWave || now < waveBegan.plus(RECLAIM_WAVE_HOLD)) return@forEach
            reclaimedSince.remove(domain)
            upstreamsIn(setOf(domain)).filterNot { it.value.isUnavailable }.forEach { it.value.restart(now) }
        }
    }

    private fun probeCommands(now: Instant): List<DomainCommand> {
        val due = upstreams.filter { (id, lifecycle) ->
            lifecycle.phase == UpstreamPhase.GONE &&
                probedAt[id]?.let { now < it.plus(PROBE_INTERVAL) } != true
        }
        due.keys.forEach { probedAt[it] = now }
        return due.keys.map { DomainCommand.Probe(it) }
    }

    /** Share of the slots up to which [work] is admitted. Low-priority work is queued first, so that lookups find a free slot. */
    private fun maxOccupancy(work: WorkClass): Double {
        val lost = upstreams.keys.any { isStopped(it) }
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

        /** Minimum time for which a domain stays out after a wave began, since its upstreams come back one by one. */
        val RECLAIM_WAVE_HOLD: Duration = Duration.ofSeconds(10)
        val PROBE_INTERVAL: Duration = Duration.ofSeconds(1)
    }
}
