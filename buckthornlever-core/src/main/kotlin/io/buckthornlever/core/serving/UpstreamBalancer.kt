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
 * A request goes to the upstream with the shortest expected time to its first output, see [PlacementChooser]. Rendezvous hashing assigns
 * the shared part of a prompt to one upstream, which is assumed to have that part cached; all instances thus send it there without
 * communicating.
 */
public class UpstreamBalancer(
    self: InstanceId,
    domain: FailureDomain,
    private val clock: Clock,
    private val options: BalancerOptions = BalancerOptions(),
) {
    private val entries = LinkedHashMap<UpstreamId, UpstreamEntry>()
    private val formerEntries = LinkedHashMap<UpstreamId, UpstreamEntry>()
    private val departed = LinkedHashMap<UpstreamId, DiscoveredUpstream>()
    private val lateRegistrations = LateRegistrations()
    private var restoredNanos = Long.MIN_VALUE / 2
    private val coldLimiter = ColdRateLimiter(self, clock.monotonicNanos())
    private val estimator = ExpectedTimeEstimator()
    private val index = UpstreamIndex({ entries.values }, ::isOpen)
    private val chooser = PlacementChooser(domain, options, estimator, StableHash.of(self.value), ::obstacle)
    private val statedRateShares = StatedRateShares(self)
    private val checkBudget = CheckBudget()
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
        index.onChanged()
    }

    /**
     * Records that the shared store was restored from a copy. Registrations that follow may be older than what is known: an upstream
     * that has left or is leaving gets no requests meanwhile, and one that is cold stays so.
     */
    public fun onStoreRestored(nanos: Long) {
        restoredNanos = nanos
    }

    /**
     * Adds or updates a registered upstream and returns true. With another address or service, it starts without load and failure history.
     * Returns false for a registration that was written before the one known, which stays in force, see [registerStanding].
     */
    public fun onRegistered(
        upstream: DiscoveredUpstream,
        nanos: Long,
    ): Boolean {
        val newest = entries[upstream.id]?.upstream ?: departed[upstream.id]
        if (newest != null && lateRegistrations.isLate(upstream, newest)) {
            lateRegistrations.add(upstream, nanos)
            return false
        }
        register(upstream, nanos)
        return true
    }

    /** Registers the upstreams whose late registration still stands at [nanos], so that it is their newest one, and returns their ids. */
    public fun registerStanding(nanos: Long): List<UpstreamId> =
        lateRegistrations.takeStanding(nanos).onEach { register(it, nanos) }.map { it.id }

    private fun register(
        upstream: DiscoveredUpstream,
        nanos: Long,
    ) {
        lateRegistrations.remove(upstream.id)
        val known = entries[upstream.id]?.takeUnless { isDifferentProcess(it.upstream, upstream) }
        val entry = known ?: formerEntry(upstream) ?: UpstreamEntry(upstream, nanos)
        if (entries.put(upstream.id, entry) !== entry) index.onChanged()
        val earlier = departed.remove(upstream.id)?.takeUnless { isDifferentProcess(it, upstream) }
        val mayBeOutdated = nanos - restoredNanos <= RESTORE_TIME.toNanos()
        val leaving = upstream.leaving || (mayBeOutdated && (entry.announcedLeaving || earlier?.leaving == true))
        val registration = upstream.copy(leaving = leaving)
        val isSame = registration.copy(coldFor = entry.upstream.coldFor, sequence = entry.upstream.sequence) == entry.upstream
        if (!isSame) index.onChanged()
        entry.upstream = registration
        entry.lapsedAt = null
        entry.announcedLeaving = leaving
        if (mayBeOutdated && earlier != null) entry.ejectedUntil = maxOf(entry.ejectedUntil, restoredNanos + RESTORE_TIME.toNanos())
        val coldUntil = if (upstream.coldFor.isZero) Long.MIN_VALUE else nanos + upstream.coldFor.toNanos() + COLD_MARGIN.toNanos()
        entry.coldUntil = if (mayBeOutdated) maxOf(entry.coldUntil, coldUntil) else coldUntil
    }

    /** Removes the upstream [id], whose registration is gone. */
    public fun onUnregistered(id: UpstreamId) {
        lateRegistrations.remove(id)
        entries.remove(id)?.let {
            rememberEntry(it)
            rememberDeparted(it.upstream.copy(leaving = it.announcedLeaving))
            index.onChanged()
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
        lateRegistrations.remove(id)
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
    ): Boolean = entry.statements.onLeaving(nanos).also { if (it) index.onChanged() }

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
            .filter { it.upstream.service == service && isOpen(it) }
            .groupingBy { it.upstream.version }
            .fold(0) { sum, entry -> sum + entry.upstream.slots }

    /** Chooses an upstream for [query]. The caller has to call [onRequestSent] when it sends the request there. */
    public fun choose(
        query: PlacementQuery,
        nanos: Long,
    ): Placement {
        val best = chooser.choose(index.group(query), query, nanos)
        return when {
            best != null -> Placement.Chosen(best)
            chooser.wasBusy -> Placement.Busy
            else -> pausedOrNone(query, nanos)
        }
    }

    /**
     * Plans the checks before the stream of [query] is placed; null if they would cost more than they help: its service states no
     * slowdown, or there is no choice, or the best candidate is known well enough, or this instance has made its share of checks.
     */
    public fun planCheck(
        query: PlacementQuery,
        nanos: Long,
    ): LoadCheck? {
        if (!options.checksLoads || query.promptTokens <= 0 || !estimator.figures(query.service).statesSlowdown(nanos)) return null
        if (!checkBudget.permits(MIN_CHECKS)) return null
        val group = index.group(query)
        val candidates = chooser.candidates(group, query, checkCount(query), nanos)
        if (candidates.size < MIN_CHECKS) return null
        val best = candidates.first()
        val tokens = maxOf(1, query.promptTokens - chooser.heldTokens(group, query, best, nanos))
        if (estimator.uncertainMillis(best, tokens, nanos) < MIN_UNCERTAIN_MILLIS * checkBudget.scarcity) return null
        val asked = candidates.filterNot { estimator.figures(query.service).isSlowdownNew(it, nanos) }
        if (asked.isEmpty() || !checkBudget.take(asked.size)) return null
        return LoadCheck(candidates, nanos, asked)
    }

    /** Chooses among the candidates of [check] by their new figures, or among others if none of them can take the request any more. */
    public fun chooseChecked(
        check: LoadCheck,
        query: PlacementQuery,
        nanos: Long,
    ): Placement {
        val (known, unknown) = check.candidates.filter(::takesRequests).partition(check::isKnown)
        val group = index.group(query)
        val best = chooser.chooseAmong(known, group, query, nanos) ?: chooser.chooseAmong(unknown, group, query, nanos)
        return best?.let(Placement::Chosen) ?: choose(query, nanos)
    }

    /** False for an entry whose upstream has left, is leaving or was replaced by another process meanwhile. */
    private fun takesRequests(entry: UpstreamEntry): Boolean = entries[entry.upstream.id] === entry && isOpen(entry)

    private fun isOpen(entry: UpstreamEntry): Boolean = !entry.isLeaving && entry.upstream.domain !in evacuated

    private fun checkCount(query: PlacementQuery): Int =
        (MIN_CHECKS + query.promptTokens / TOKENS_PER_CHECK).coerceAtMost(MAX_CHECKS)

    /** Explains why no upstream can take the request of [query]. */
    public fun shortage(
        query: PlacementQuery,
        nanos: Long,
    ): PlacementShortage {
        val (tried, untried) = index.group(query).entries.partition { it.upstream.id in query.tried }
        val obstructed = untried.mapNotNull { entry -> obstacle(entry, nanos)?.let { entry to it } }
        val reports = obstructed.mapNotNull { (entry, obstacle) -> entry.loadReportedNanos.takeIf { obstacle == PlacementObstacle.FULL } }
        return PlacementShortage(
            tried.size,
            obstructed.groupingBy { (_, obstacle) -> obstacle }.eachCount(),
            (tried + untried).sumOf { it.inFlight },
            reports.minOrNull()?.let { Duration.ofNanos(nanos - it) },
        )
    }

    /** Times after which the request of [query] can be expected to have output if it is sent to [entry] now. */
    public fun expectedTimes(
        entry: UpstreamEntry,
        query: PlacementQuery,
        nanos: Long,
    ): ExpectedTimes = estimator.expectedTimes(entry, query, chooser.heldTokens(index.group(query), query, entry, nanos), nanos)

    /** What is known of [entry] when the request of [query] is sent there at [nanos]. */
    public fun basis(
        entry: UpstreamEntry,
        query: PlacementQuery,
        nanos: Long,
    ): PlacementBasis {
        val held = if (options.usesExpectedTimes) chooser.heldTokens(index.group(query), query, entry, nanos) else 0
        return estimator.basis(entry, query, held, nanos)
    }

    /** Load of the upstreams of [service] that take requests; cheap enough to be asked for with each request. */
    public fun serviceLoad(
        service: String,
        nanos: Long,
    ): ServiceLoad = estimator.serviceLoad(service, nanos) { index.group(PlacementQuery(service)).entries }

    private fun pausedOrNone(
        query: PlacementQuery,
        nanos: Long,
    ): Placement {
        val paused = index.group(query).entries.filter { it.statements.isPaused(nanos) }
        val returnNanos = paused.mapNotNull { it.statements.pausedUntilNanos }.minOrNull() ?: return Placement.NoUpstream
        val untried = paused.filter { it.upstream.id !in query.tried }
        return Placement.Paused(returnNanos, untried.mapNotNull { it.statements.pausedUntilNanos }.minOrNull())
    }

    /** Prompt tokens per second that an upstream of [service] reads, as learned from its responses; null as long as none is learned. */
    public fun tokensPerSecond(service: String): Double? = estimator.tokensPerSecond(service)

    /** Share of the prompt tokens for [service] that its upstreams have to read, since they do not hold them from earlier requests. */
    public fun readShare(service: String): Double = estimator.readShare(service)

    /** Records that a request with [promptTokens] is sent to [entry], which has to read [tokens] of them. */
    public fun onRequestSent(
        entry: UpstreamEntry,
        tokens: Int,
        nanos: Long,
        promptTokens: Int = tokens,
    ) {
        entry.onSent(nanos)
        entry.pendingTokens += tokens
        if (tokens > 0) {
            estimator.onPromptSent(entry.upstream.service, tokens, promptTokens)
            checkBudget.onStreamPlaced()
        }
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
        if (time != null) estimator.onFinished(entry.upstream.service, time)
        if (failed == null) return
        entry.onOutcome(failed, nanos)
        if (!failed) entry.consecutiveEjections = 0
    }

    /**
     * Records that the first output of the request of [query], sent to [entry] on [basis], came after [time]. It shows the pace of the
     * upstream, and that the upstream holds the shared part of the prompt.
     */
    public fun onFirstOutput(
        entry: UpstreamEntry,
        query: PlacementQuery,
        basis: PlacementBasis,
        time: Duration,
        nanos: Long,
    ) {
        query.sharedParts.lastOrNull()?.let { entry.onPartRead(it, nanos) }
        if (basis.tokensToRead > 0) estimator.onFirstOutput(entry, basis, time, nanos)
    }

    /** Records that a stream at [entry] with [expectedTokens] expected output tokens took [time] from its first to its last event. */
    public fun onOutputFinished(
        entry: UpstreamEntry,
        expectedTokens: Int,
        time: Duration,
    ): Unit = estimator.onOutputFinished(entry.upstream.service, expectedTokens, time)

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

    /**
     * Records that [entry] states to run [running] requests of all instances, that [waiting] more wait there, and its [slots] and
     * [slowdown] if it names them. Figures that cannot be right are ignored.
     */
    public fun onLoadReported(
        entry: UpstreamEntry,
        running: Int,
        waiting: Int,
        nanos: Long,
        slots: Int? = null,
        slowdown: Double? = null,
    ) {
        updateFigure(entry, LoadFigure.of(running, waiting, slots, slowdown, nanos) ?: return, isOwn = true)
    }

    /** Records the [load] that [entry] states. */
    public fun onLoadReported(
        entry: UpstreamEntry,
        load: StatedLoad,
        nanos: Long,
    ): Unit = onLoadReported(entry, load.running, load.waiting, nanos, load.slots, load.slowdown)

    /** Records [figure], which another instance has passed on, for the upstream with the key [life], unless a newer one is known. */
    internal fun onLoadShared(
        life: Int,
        figure: LoadFigure,
    ) {
        val entry = index.byLife(life) ?: return
        if (figure.nanos <= (entry.figure?.nanos ?: Long.MIN_VALUE)) return
        updateFigure(entry, figure.copy(slots = entry.figure?.slots), isOwn = false)
    }

    private fun updateFigure(
        entry: UpstreamEntry,
        figure: LoadFigure,
        isOwn: Boolean,
    ) {
        val others = entry.othersIn(figure)
        estimator.onFigure(entry, figure, others)
        entry.updateFigure(figure, others, isOwn)
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

    private fun obstacle(
        entry: UpstreamEntry,
        nanos: Long,
    ): PlacementObstacle? =
        when {
            nanos < entry.ejectedUntil -> PlacementObstacle.UNREACHABLE
            entry.statements.isPaused(nanos) -> PlacementObstacle.PAUSED
            entry.isFull(estimator.requestTime(entry.upstream.service), nanos) -> PlacementObstacle.FULL
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

    private companion object {
        /** Candidates that are compared by checks before a small and a large prompt is placed, and the tokens that make the difference. */
        const val MIN_CHECKS = 2
        const val MAX_CHECKS = 3
        const val TOKENS_PER_CHECK = 12_000

        /**
         * Deviation of the expected time to the first event from which on checks are made. A round takes up to 30 ms, and with a limit of
         * 30 ms short prompts use up the budget that large ones need.
         */
        const val MIN_UNCERTAIN_MILLIS = 40.0

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
