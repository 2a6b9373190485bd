package io.buckthornlever.core.serving

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.serving.DiscoveredUpstream
import io.buckthornlever.api.serving.ServingTable
import io.buckthornlever.api.version.VersionLabel
import java.time.Duration

/**
 * Balances requests over the upstreams and tracks their registrations, cold phases, failures and load. Not thread-safe.
 *
 * A request goes to the upstream with the lowest estimated wait, which depends on the prompt tokens that the upstream has to read
 * first, its load and failure rate, and the latency between failure domains. Rendezvous hashing assigns the shared part of a prompt
 * to one upstream, which is assumed to have that part cached; all instances thus send it there without communicating.
 */
public class UpstreamBalancer(
    self: InstanceId,
    private val domain: FailureDomain,
    private val clock: Clock,
) {
    private val entries = LinkedHashMap<UpstreamId, UpstreamEntry>()
    private val formerEntries = LinkedHashMap<UpstreamId, UpstreamEntry>()
    private val departed = LinkedHashMap<UpstreamId, DiscoveredUpstream>()
    private var restoredNanos = Long.MIN_VALUE / 2
    private val coldLimiter = ColdRateLimiter(self, clock.monotonicNanos())
    private val requestTimes = RequestTimes()
    private val statedRateShares = StatedRateShares(self)
    private var table: ServingTable? = null

    /** All known upstreams. */
    public val upstreams: Collection<UpstreamEntry> get() = entries.values

    /** Failure domains whose upstreams get no requests. */
    public var evacuated: Set<FailureDomain> = emptySet()
        private set

    /** Sets the serving table that describes the services. */
    public fun updateTable(table: ServingTable) {
        this.table = table
    }

    /** Sets the live instances, including this one. */
    public fun updateInstances(instances: Set<InstanceId>) {
        coldLimiter.instances = instances
        statedRateShares.instances = instances
    }

    /** Sets the failure domains whose upstreams get no requests. */
    public fun updateEvacuated(domains: Set<FailureDomain>) {
        evacuated = domains
    }

    /**
     * Records that the shared store was restored from a copy. Registrations that follow may be older than what is known: an upstream
     * that has left or is leaving gets no requests meanwhile, and one that is cold stays so.
     */
    public fun onStoreRestored(nanos: Long) {
        restoredNanos = nanos
    }

    /** Adds or updates a registered upstream. With another address or service, it starts without load and failure history. */
    public fun onRegistered(
        upstream: DiscoveredUpstream,
        nanos: Long,
    ) {
        val known = entries[upstream.id]?.takeUnless { isDifferentProcess(it.upstream, upstream) }
        val entry = known ?: formerEntry(upstream) ?: UpstreamEntry(upstream, nanos)
        entries[upstream.id] = entry
        val earlier = departed.remove(upstream.id)?.takeUnless { isDifferentProcess(it, upstream) }
        val mayBeOutdated = nanos - restoredNanos <= RESTORE_TIME.toNanos()
        val leaving = upstream.leaving || (mayBeOutdated && (entry.announcedLeaving || earlier?.leaving == true))
        entry.upstream = upstream.copy(leaving = leaving)
        entry.lapsedAt = null
        entry.announcedLeaving = leaving
        if (mayBeOutdated && earlier != null) entry.ejectedUntil = maxOf(entry.ejectedUntil, restoredNanos + RESTORE_TIME.toNanos())
        val coldUntil = if (upstream.coldFor.isZero) Long.MIN_VALUE else nanos + upstream.coldFor.toNanos() + COLD_MARGIN.toNanos()
        entry.coldUntil = if (mayBeOutdated) maxOf(entry.coldUntil, coldUntil) else coldUntil
    }

    /** Removes the upstream [id], whose registration is gone. */
    public fun onUnregistered(id: UpstreamId) {
        entries.remove(id)?.let {
            rememberEntry(it)
            rememberDeparted(it.upstream.copy(leaving = it.announcedLeaving))
        }
        coldLimiter.remove(id)
        statedRateShares.remove(id)
    }

    /**
     * Records that the registration of [id] lapsed while the shared store was unreachable. The upstream stays in use until
     * [removeLapsedBefore] removes it or it registers again, unless it had announced that it leaves.
     */
    public fun onLapsed(
        id: UpstreamId,
        nanos: Long,
    ) {
        val entry = entries[id] ?: return
        if (entry.announcedLeaving || entry.isLeaving) onUnregistered(id) else entry.lapsedAt = entry.lapsedAt ?: nanos
    }

    /** Removes and returns the upstreams whose registration lapsed before [nanos]. */
    public fun removeLapsedBefore(nanos: Long): List<UpstreamId> {
        val gone = entries.values.filter { entry -> entry.lapsedAt?.let { it < nanos } ?: false }.map { it.upstream.id }
        gone.forEach(::onUnregistered)
        return gone
    }

    /** Records that [entry] reports to be cold for another [left]. */
    public fun onColdReported(
        entry: UpstreamEntry,
        left: Duration,
        nanos: Long,
    ) {
        entry.coldUntil = nanos + left.toNanos()
    }

    /** Records what [entry] says in a response about the requests that it takes; returns true if it has said something else before. */
    public fun onLimitStated(
        entry: UpstreamEntry,
        limit: StatedLimit,
    ): Boolean = entry.statements.onLimit(limit)

    /** Records that [entry] says that it leaves; returns true if it has not said so before. It gets no more requests in its life. */
    public fun onLeavingStated(
        entry: UpstreamEntry,
        nanos: Long,
    ): Boolean = entry.statements.onLeaving(nanos)

    /**
     * Records the [pause] that [entry] asks for with a response, and returns how long it gets no requests; null for a response that
     * asks for none.
     */
    public fun onPauseStated(
        entry: UpstreamEntry,
        pause: StatedPause,
        nanos: Long,
    ): Duration? {
        val time = entry.statements.onPause(pause, nanos)
        if (time == null) entry.statements.onResponse(nanos)
        return time
    }

    /** Slots of the upstreams of [service] that get requests, by version. */
    public fun slotsByVersion(service: String): Map<VersionLabel, Int> =
        entries.values
            .filter { it.upstream.service == service && !it.isLeaving && it.upstream.domain !in evacuated }
            .groupingBy { it.upstream.version }
            .fold(0) { sum, entry -> sum + entry.upstream.slots }

    /** Chooses an upstream for [query]. The caller has to call [onRequestSent] when it sends the request there. */
    public fun choose(
        query: PlacementQuery,
        nanos: Long,
    ): Placement {
        var best: UpstreamEntry? = null
        var bestCost = Double.MAX_VALUE
        var busy = false
        val affinity = affinityUpstream(query)
        val median = medianFailureRate(query.service, nanos)
        for (entry in entries.values) {
            if (!isEligible(entry, query) || entry.upstream.id in query.tried) continue
            if (obstacle(entry, nanos) != null) {
                busy = busy || !entry.statements.isPaused(nanos)
                continue
            }
            val cost = cost(entry, query, entry === affinity, median, nanos)
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
            pausedOrNone(query, nanos)
        }
    }

    /** Explains why no upstream can take the request of [query]. */
    public fun shortage(
        query: PlacementQuery,
        nanos: Long,
    ): PlacementShortage {
        val (tried, untried) = entries.values.filter { isEligible(it, query) }.partition { it.upstream.id in query.tried }
        val obstructed = untried.mapNotNull { entry -> obstacle(entry, nanos)?.let { entry to it } }
        val reports = obstructed.mapNotNull { (entry, obstacle) -> entry.loadReportedNanos.takeIf { obstacle == PlacementObstacle.FULL } }
        return PlacementShortage(
            tried.size,
            obstructed.groupingBy { (_, obstacle) -> obstacle }.eachCount(),
            (tried + untried).sumOf { it.inFlight },
            reports.minOrNull()?.let { Duration.ofNanos(nanos - it) },
        )
    }

    private fun pausedOrNone(
        query: PlacementQuery,
        nanos: Long,
    ): Placement {
        val paused = entries.values.filter { isEligible(it, query) && it.statements.isPaused(nanos) }
        val returnNanos = paused.mapNotNull { it.statements.pausedUntilNanos }.minOrNull() ?: return Placement.NoUpstream
        val untried = paused.filter { it.upstream.id !in query.tried }
        return Placement.Paused(returnNanos, untried.mapNotNull { it.statements.pausedUntilNanos }.minOrNull())
    }

    /** Records that a request with [tokens] prompt tokens is sent to [entry]. */
    public fun onRequestSent(
        entry: UpstreamEntry,
        tokens: Int,
        nanos: Long,
    ) {
        entry.inFlight++
        entry.pendingTokens += tokens
        entry.lastSentNanos = nanos
        entry.statements.onSent()
        if (entry.isCold(nanos)) coldLimiter.onSent(entry.upstream.id, coldRate(entry), nanos)
    }

    /** Records that [entry] has read the [tokens] prompt tokens of a request. */
    public fun onPromptRead(
        entry: UpstreamEntry,
        tokens: Int,
    ) {
        entry.pendingTokens = maxOf(0, entry.pendingTokens - tokens)
    }

    /**
     * Records that a request at [entry] ended; [failed] says whether it counts as a failure, null leaves the failure rate as it is.
     * [time] is what a request that succeeded took; null if that is not known.
     */
    public fun onRequestFinished(
        entry: UpstreamEntry,
        failed: Boolean?,
        nanos: Long,
        time: Duration? = null,
    ) {
        entry.inFlight = maxOf(0, entry.inFlight - 1)
        if (time != null) requestTimes.onFinished(entry.upstream.service, time)
        if (failed == null) return
        entry.onOutcome(failed, nanos)
        if (!failed) entry.consecutiveEjections = 0
    }

    /** Ejects [entry], which could not be reached, for a time that doubles with each consecutive ejection up to a limit. */
    public fun onUnreachable(
        entry: UpstreamEntry,
        nanos: Long,
    ) {
        val ejection = BASE_EJECTION_TIME.multipliedBy(1L shl minOf(entry.consecutiveEjections, MAX_EJECTION_DOUBLINGS))
        entry.consecutiveEjections++
        entry.ejectedUntil = nanos + ejection.toNanos()
    }

    /**
     * Records that another process answered at the address of [entry], whose own has ended. It gets nothing for long enough that its
     * registration can end.
     */
    public fun onReplaced(
        entry: UpstreamEntry,
        nanos: Long,
    ) {
        entry.ejectedUntil = nanos + REPLACED_EJECTION_TIME.toNanos()
    }

    /** Records how many requests of all instances [entry] reports as [running] and [waiting]. */
    public fun onLoadReported(
        entry: UpstreamEntry,
        running: Int,
        waiting: Int,
        nanos: Long,
    ) {
        entry.loadReportedNanos = nanos
        entry.loadOfOtherInstances = maxOf(0, running + waiting - entry.inFlight)
    }

    private fun isDifferentProcess(
        old: DiscoveredUpstream,
        new: DiscoveredUpstream,
    ): Boolean =
        old.host != new.host ||
            old.port != new.port ||
            old.service != new.service ||
            (old.bornMillis != null && new.bornMillis != null && old.bornMillis != new.bornMillis)

    /** Keeps [entry], which has said something or may still say it in responses, in case its process registers again. */
    private fun rememberEntry(entry: UpstreamEntry) {
        val isOfUse = entry.inFlight > 0 || entry.statements.isBinding(clock.monotonicNanos())
        if (entry.upstream.bornMillis == null || !isOfUse) return
        formerEntries.remove(entry.upstream.id)
        formerEntries[entry.upstream.id] = entry
        if (formerEntries.size > MAX_FORMER_ENTRIES) formerEntries.remove(formerEntries.keys.first())
    }

    private fun rememberDeparted(upstream: DiscoveredUpstream) {
        if (upstream.bornMillis == null) return
        departed.remove(upstream.id)
        departed[upstream.id] = upstream
        if (departed.size > MAX_FORMER_ENTRIES) departed.remove(departed.keys.first())
    }

    private fun formerEntry(upstream: DiscoveredUpstream): UpstreamEntry? =
        formerEntries.remove(upstream.id)?.takeIf {
            it.upstream.bornMillis == upstream.bornMillis && !isDifferentProcess(it.upstream, upstream)
        }

    private fun isEligible(
        entry: UpstreamEntry,
        query: PlacementQuery,
    ): Boolean =
        entry.upstream.service == query.service &&
            !entry.isLeaving &&
            entry.upstream.domain !in evacuated &&
            query.allows(entry.upstream.version)

    private fun obstacle(
        entry: UpstreamEntry,
        nanos: Long,
    ): PlacementObstacle? =
        when {
            nanos < entry.ejectedUntil -> PlacementObstacle.UNREACHABLE
            entry.statements.isPaused(nanos) -> PlacementObstacle.PAUSED
            entry.isFull(requestTimes.of(entry.upstream.service), nanos) -> PlacementObstacle.FULL
            !permitsWhileCold(entry, nanos) -> PlacementObstacle.COLD
            !permitsStatedRate(entry, nanos) -> PlacementObstacle.STATED_RATE
            !entry.statements.permitsAfterPause(entry.lastSentNanos, nanos) -> PlacementObstacle.RETURNING
            else -> null
        }

    private fun permitsWhileCold(
        entry: UpstreamEntry,
        nanos: Long,
    ): Boolean {
        val rate = coldRate(entry)
        return !entry.isCold(nanos) || rate <= 0 || coldLimiter.permits(entry.upstream.id, rate, nanos)
    }

    private fun permitsStatedRate(
        entry: UpstreamEntry,
        nanos: Long,
    ): Boolean {
        val perSecond = entry.statements.requestsPerSecond ?: return true
        val interval = statedRateShares.interval(entry.upstream.id, perSecond, clock.now()) ?: return false
        return nanos - entry.lastSentNanos >= interval.toNanos()
    }

    private fun coldRate(entry: UpstreamEntry): Double = table?.service(entry.upstream.service)?.coldRequestsPerSecond ?: 0.0

    private fun affinityUpstream(query: PlacementQuery): UpstreamEntry? {
        val key = query.sharedParts.lastOrNull() ?: return null
        return entries.values
            .filter { it.upstream.service == query.service && !it.isLeaving && it.upstream.domain !in evacuated }
            .filter { query.allows(it.upstream.version) }
            .maxByOrNull { StableHash.combine(key, it.hash) }
    }

    private fun medianFailureRate(
        service: String,
        nanos: Long,
    ): Double {
        val rates = entries.values.filter { it.upstream.service == service }.map { it.expectedFailureRate(nanos) }.sorted()
        return if (rates.isEmpty()) 0.0 else rates[(rates.size - 1) / 2]
    }

    private fun cost(
        entry: UpstreamEntry,
        query: PlacementQuery,
        hasAffinity: Boolean,
        medianFailureRate: Double,
        nanos: Long,
    ): Double {
        val tokensToRead = if (hasAffinity) query.promptTokens - query.sharedTokens else query.promptTokens
        val prompt = (tokensToRead + entry.pendingTokens) / PROMPT_TOKENS_PER_MILLI
        val load = LOAD_MILLIS * entry.expectedLoad(nanos) / maxOf(1, entry.upstream.slots)
        val crossing = if (entry.upstream.domain == domain) 0.0 else CROSS_DOMAIN_MILLIS
        val failures = FAILURE_MILLIS * maxOf(0.0, entry.expectedFailureRate(nanos) - medianFailureRate - FAILURE_TOLERANCE)
        val cold = if (entry.isCold(nanos)) COLD_MILLIS else 0.0
        val tie = if (query.promptTokens > 0) 0.0 else TIE_BREAK_MILLIS * StableHash.unit(StableHash.combine(query.tieBreak, entry.hash))
        return prompt + load + crossing + failures + cold + tie
    }

    private companion object {
        /** Prompt tokens that an engine reads per millisecond; the order of magnitude of current accelerators. */
        const val PROMPT_TOKENS_PER_MILLI = 60.0

        /** Additional wait at an upstream with all slots taken, compared with an idle one, in milliseconds. */
        const val LOAD_MILLIS = 300.0

        /** Wait that is accepted to avoid crossing failure domains, in milliseconds. */
        const val CROSS_DOMAIN_MILLIS = 8.0

        /** Largest wait that the tie-break between equally good upstreams adds, in milliseconds. */
        const val TIE_BREAK_MILLIS = 2.0

        /** Wait that is as bad as a failure rate of 1, in milliseconds. */
        const val FAILURE_MILLIS = 2_000.0

        /** Excess of an upstream's failure rate over the median that is ignored. */
        const val FAILURE_TOLERANCE = 0.1

        /** Wait that is accepted to avoid a cold upstream, in milliseconds. */
        const val COLD_MILLIS = 100.0

        const val MAX_EJECTION_DOUBLINGS = 3

        /** Upstreams that are kept although they are no longer registered. */
        const val MAX_FORMER_ENTRIES = 1_000

        /** Ejection time after the first failure to reach an upstream. */
        val BASE_EJECTION_TIME: Duration = Duration.ofMillis(500)

        /** Ejection time of an upstream at whose address another process answered; registrations end within a few seconds. */
        val REPLACED_EJECTION_TIME: Duration = Duration.ofSeconds(5)

        /** Time after a restore of the store within which registrations that are out of date end or are written again. */
        val RESTORE_TIME: Duration = Duration.ofSeconds(5)

        /** Time for which an upstream counts as cold beyond its announcement, since the announcement takes time to arrive. */
        val COLD_MARGIN: Duration = Duration.ofMillis(300)
    }
}
