package io.buckthornlever.core.serving

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.serving.DiscoveredUpstream
import io.buckthornlever.api.serving.ServingTable
import java.time.Duration

/**
 * Upstreams as they register, leave, turn cold, fail and report load, and the choice among them. Not thread-safe.
 *
 * A request goes where its estimated wait is least: tokens that the upstream has to read first, the load it reports, and the
 * way between failure domains. The upstream that rendezvous hashing names for the shared part of a prompt is taken to hold
 * that part, so that all instances send it there without asking each other.
 */
public class UpstreamBalancer(
    self: InstanceId,
    private val domain: FailureDomain,
) {
    private val entries = LinkedHashMap<UpstreamId, UpstreamEntry>()
    private val pacer = ColdPacer(self)
    private var table: ServingTable? = null

    /** All known upstreams. */
    public val upstreams: Collection<UpstreamEntry> get() = entries.values

    /** Failure domains whose upstreams get nothing. */
    public var evacuated: Set<FailureDomain> = emptySet()
        private set

    /** Takes the services of [table]. */
    public fun updateTable(table: ServingTable) {
        this.table = table
    }

    /** Sets the live instances, this one included. */
    public fun updateInstances(instances: Set<InstanceId>) {
        pacer.instances = instances
    }

    /** Sets the failure domains whose upstreams get nothing. */
    public fun updateEvacuated(domains: Set<FailureDomain>) {
        evacuated = domains
    }

    /** Takes a registration. */
    public fun onRegistered(
        upstream: DiscoveredUpstream,
        nanos: Long,
    ) {
        val known = entries[upstream.id]
        val entry = if (known == null || moved(known.upstream, upstream)) UpstreamEntry(upstream) else known
        entries[upstream.id] = entry
        entry.upstream = upstream
        entry.lapsedAt = null
        entry.announcedLeaving = upstream.leaving
        entry.coldUntil = if (upstream.coldFor.isZero) Long.MIN_VALUE else nanos + upstream.coldFor.toNanos() + COLD_MARGIN.toNanos()
    }

    /** The registration of [id] is gone. */
    public fun onUnregistered(id: UpstreamId) {
        entries.remove(id)
        pacer.removed(id)
    }

    /**
     * The registration of [id] lapsed while the store could not be reached. The upstream stays in use until [removeLapsedBefore]
     * removes it or it registers again, unless it had announced its end.
     */
    public fun onLapsed(
        id: UpstreamId,
        nanos: Long,
    ) {
        val entry = entries[id] ?: return
        if (entry.announcedLeaving) onUnregistered(id) else entry.lapsedAt = entry.lapsedAt ?: nanos
    }

    /** Removes the upstreams whose registration lapsed before [nanos]. */
    public fun removeLapsedBefore(nanos: Long): List<UpstreamId> {
        val gone = entries.values.filter { entry -> entry.lapsedAt?.let { it < nanos } ?: false }.map { it.upstream.id }
        gone.forEach(::onUnregistered)
        return gone
    }

    /** The upstream says that it stays cold for [left]. */
    public fun onColdReported(
        entry: UpstreamEntry,
        left: Duration,
        nanos: Long,
    ) {
        entry.coldUntil = nanos + left.toNanos()
    }

    /** Chooses an upstream for [query]; [onRequestSent] has to follow when the request is sent there. */
    public fun choose(
        query: PlacementQuery,
        nanos: Long,
    ): Placement {
        var best: UpstreamEntry? = null
        var bestCost = Double.MAX_VALUE
        var busy = false
        val home = homeOf(query)
        val usual = usualFailureRate(query.service)
        for (entry in entries.values) {
            if (!mayTake(entry, query)) continue
            if (!hasRoom(entry, nanos)) {
                busy = true
                continue
            }
            val cost = cost(entry, query, entry === home, usual, nanos)
            if (cost < bestCost) {
                best = entry
                bestCost = cost
            }
        }
        return if (best != null) {
            Placement.Chosen(best)
        } else if (busy) {
            Placement.Busy
        } else {
            Placement.Nowhere
        }
    }

    /** A request with [tokens] prompt tokens is sent to [entry]. */
    public fun onRequestSent(
        entry: UpstreamEntry,
        tokens: Int,
        nanos: Long,
    ) {
        entry.inFlight++
        entry.pendingTokens += tokens
        if (entry.isCold(nanos)) pacer.sent(entry.upstream.id, coldRate(entry), nanos)
    }

    /** The prompt of a request that was sent to [entry] has been read. */
    public fun onPromptRead(
        entry: UpstreamEntry,
        tokens: Int,
    ) {
        entry.pendingTokens = maxOf(0, entry.pendingTokens - tokens)
    }

    /** A request at [entry] ended; [failed] says whether that counts against the upstream, null when it says nothing. */
    public fun onRequestFinished(
        entry: UpstreamEntry,
        failed: Boolean?,
    ) {
        entry.inFlight = maxOf(0, entry.inFlight - 1)
        if (failed == null) return
        entry.failureRate += FAILURE_WEIGHT * ((if (failed) 1.0 else 0.0) - entry.failureRate)
        if (!failed) entry.ejections = 0
    }

    /** [entry] could not be reached; it gets nothing for a while that doubles with each such failure. */
    public fun onUnreachable(
        entry: UpstreamEntry,
        nanos: Long,
    ) {
        val hold = FIRST_EJECTION.multipliedBy(1L shl minOf(entry.ejections, MAX_EJECTION_DOUBLINGS))
        entry.ejections++
        entry.ejectedUntil = nanos + hold.toNanos()
    }

    /** [entry] reports how many requests of all instances it runs and keeps waiting. */
    public fun onLoadReported(
        entry: UpstreamEntry,
        running: Int,
        waiting: Int,
    ) {
        entry.othersLoad = maxOf(0, running + waiting - entry.inFlight)
    }

    private fun moved(
        old: DiscoveredUpstream,
        new: DiscoveredUpstream,
    ): Boolean = old.host != new.host || old.port != new.port || old.service != new.service

    private fun mayTake(
        entry: UpstreamEntry,
        query: PlacementQuery,
    ): Boolean =
        entry.upstream.service == query.service &&
            !entry.upstream.leaving &&
            entry.upstream.domain !in evacuated &&
            entry.upstream.id !in query.tried

    private fun hasRoom(
        entry: UpstreamEntry,
        nanos: Long,
    ): Boolean =
        nanos >= entry.ejectedUntil &&
            entry.load < entry.upstream.slots &&
            (!entry.isCold(nanos) || coldRate(entry) <= 0 || pacer.permits(entry.upstream.id, coldRate(entry), nanos))

    private fun coldRate(entry: UpstreamEntry): Double = table?.service(entry.upstream.service)?.coldRequestsPerSecond ?: 0.0

    private fun homeOf(query: PlacementQuery): UpstreamEntry? {
        val key = query.sharedParts.lastOrNull() ?: return null
        return entries.values
            .filter { it.upstream.service == query.service && !it.upstream.leaving && it.upstream.domain !in evacuated }
            .maxByOrNull { StableHash.combine(key, it.hash) }
    }

    private fun usualFailureRate(service: String): Double {
        val rates = entries.values.filter { it.upstream.service == service }.map { it.failureRate }.sorted()
        return if (rates.isEmpty()) 0.0 else rates[(rates.size - 1) / 2]
    }

    private fun cost(
        entry: UpstreamEntry,
        query: PlacementQuery,
        isHome: Boolean,
        usualFailureRate: Double,
        nanos: Long,
    ): Double {
        val toRead = if (isHome) query.promptTokens - query.sharedTokens else query.promptTokens
        val reading = (toRead + entry.pendingTokens) / TOKENS_PER_MILLI
        val load = LOAD_MILLIS * entry.load / maxOf(1, entry.upstream.slots)
        val way = if (entry.upstream.domain == domain) 0.0 else OTHER_DOMAIN_MILLIS
        val failures = FAILURE_MILLIS * maxOf(0.0, entry.failureRate - usualFailureRate - FAILURE_TOLERANCE)
        val cold = if (entry.isCold(nanos)) COLD_MILLIS else 0.0
        val spread = if (query.promptTokens > 0) 0.0 else SPREAD_MILLIS * StableHash.unit(StableHash.combine(query.spread, entry.hash))
        return reading + load + way + failures + cold + spread
    }

    private companion object {
        /** Prompt tokens that an engine reads in a millisecond, the order of magnitude for current accelerators. */
        const val TOKENS_PER_MILLI = 60.0

        /** Wait at an upstream with all slots taken, as compared with an idle one, in milliseconds. */
        const val LOAD_MILLIS = 300.0

        /** Wait that a request takes rather than cross failure domains, in milliseconds. */
        const val OTHER_DOMAIN_MILLIS = 8.0

        /** Difference between equally good upstreams up to which the choice is left to chance, in milliseconds. */
        const val SPREAD_MILLIS = 2.0

        /** Wait that weighs as much as certain failure, in milliseconds. */
        const val FAILURE_MILLIS = 2_000.0

        /** Failure rate above that of the other upstreams which is not held against one. */
        const val FAILURE_TOLERANCE = 0.1

        /** Weight of the newest outcome in an upstream's failure rate. */
        const val FAILURE_WEIGHT = 0.1

        /** Wait that a request takes rather than go to a cold upstream, in milliseconds. */
        const val COLD_MILLIS = 100.0

        const val MAX_EJECTION_DOUBLINGS = 3

        /** Hold after the first failure to reach an upstream. */
        val FIRST_EJECTION: Duration = Duration.ofMillis(500)

        /** An upstream counts as cold for this much longer than it says, since its word is on its way for some time. */
        val COLD_MARGIN: Duration = Duration.ofMillis(300)
    }
}
