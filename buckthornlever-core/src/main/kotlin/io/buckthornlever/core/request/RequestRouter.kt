package io.buckthornlever.core.request

import io.buckthornlever.api.connection.LoadReport
import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.PoolName
import io.buckthornlever.api.process.PoolTable
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.api.request.WorkClass
import io.buckthornlever.api.version.VersionLabel
import io.buckthornlever.core.process.CallOutcome
import io.buckthornlever.core.process.ColdStartShares
import io.buckthornlever.core.process.RoutingSettings
import io.buckthornlever.core.process.UpstreamHealth
import io.buckthornlever.core.process.UpstreamRuntime
import java.time.Duration
import java.time.Instant
import java.time.format.DateTimeParseException

/**
 * Request router of one entry instance. Holds the configuration and the state of each upstream, and chooses an upstream for each
 * request. A decision considers a few candidates per price tier, so its time and allocation do not depend on the number of
 * upstreams. Not thread-safe: all calls must come from one thread or be made under one lock.
 */
public class RequestRouter(
    self: InstanceId,
    private val clock: Clock,
    private val settings: RoutingSettings = RoutingSettings(),
) : UpstreamSelector {
    private val upstreams = HashMap<String, UpstreamRuntime>()
    private val targets = HashMap<String, UtilisationTarget>()
    private val versionWeights = HashMap<PoolName, Map<VersionLabel, Double>>()
    private val shares = ColdStartShares(self, settings, clock.monotonicNanos())
    private val cacheDirectory = PrefixCacheDirectory()
    private val prefixKeys = PrefixKeyChooser()
    private val trace = DecisionTrace()
    private val search = CandidateSearch(shares, cacheDirectory, trace)
    private val events = ArrayDeque<RoutingEvent>()
    private var pools: Map<String, PoolIndex> = emptyMap()
    private val listedIds = HashSet<String>()
    private var suspectFallbackPool: PoolIndex? = null
    private var contendedUntil = Long.MIN_VALUE
    private var poolTable = PoolTable()

    /** Route matcher for the current configuration. */
    public var matcher: RouteMatcher = RouteMatcher(Configuration().routes)
        private set

    override fun configure(configuration: Configuration) {
        matcher = RouteMatcher(configuration.routes)
        if (configuration.pools == poolTable) return
        poolTable = configuration.pools
        listedIds.clear()
        upstreams.values.forEach { it.memberships = emptyList() }
        val builder =
            RoutingIndexBuilder(
                ::runtime,
                { name -> targets.getOrPut(name) { UtilisationTarget(settings.firstByteTarget.toNanos()) } },
            )
        val previous = pools
        pools = builder.build(poolTable).associateBy { it.pool.name.value }
        for ((name, pool) in pools) {
            previous[name]?.let(pool::inheritCredits)
            versionWeights[pool.pool.name]?.let(pool::setWeights)
        }
        poolTable.pools.forEach { pool -> pool.upstreams.mapTo(listedIds) { it.id.value } }
        upstreams.entries.removeIf { it.key !in listedIds && it.value.inFlight == 0 }
    }

    override fun onMembersChanged(live: Collection<InstanceId>): Unit = shares.onMembersChanged(live, clock.monotonicNanos())

    /** Sets the weights of a pool's versions; a version that is missing gets no requests. Null restores the default weights. */
    public fun setVersionWeights(
        pool: PoolName,
        byVersion: Map<VersionLabel, Double>?,
    ) {
        if (byVersion == null) versionWeights.remove(pool) else versionWeights[pool] = byVersion
        pools[pool.value]?.setWeights(byVersion)
    }

    override fun select(request: RoutingRequest): Selection {
        val selection = decide(request, true)
        if (selection is Selection.Chosen && request.prefix.isNotEmpty()) prefixKeys.record(request.prefix)
        return selection
    }

    /** The decision that [select] would make now, without reserving a slot. */
    public fun explain(request: RoutingRequest): Selection = decide(request, false)

    override fun onCallFinished(
        upstream: UpstreamId,
        outcome: CallOutcome,
    ) {
        val runtime = upstreams[upstream.value] ?: return
        if (outcome is CallOutcome.Answered && outcome.workClass == WorkClass.INTERACTIVE) observeTarget(runtime, outcome)
        val becameCold = runtime.onCallFinished(outcome, clock.monotonicNanos())
        if (becameCold) enqueueEvent(RoutingEvent.BecameCold(upstream))
        if (runtime.inFlight == 0 && upstream.value !in listedIds) upstreams.remove(upstream.value)
    }

    override fun onLoadReported(
        upstream: UpstreamId,
        report: LoadReport,
    ) {
        val runtime = upstreams[upstream.value] ?: return
        val now = clock.monotonicNanos()
        val measured = now - age(report).toNanos()
        runtime.onLoadReported(report, measured, now, shares.instanceCount, shares.roundingOffset(runtime.hash xor measured))
    }

    override fun onHealthChanged(
        upstream: UpstreamId,
        health: UpstreamHealth,
    ) {
        upstreams[upstream.value]?.onHealthChanged(health)
    }

    /** The platform or a peer has announced that [upstream] is about to shut down. */
    public fun onLeavingAnnounced(upstream: UpstreamId) {
        upstreams[upstream.value]?.onLeavingAnnounced()
    }

    /** A peer has found [upstream] to be cold, or [upstream] has just started. */
    public fun onColdAnnounced(upstream: UpstreamId) {
        val runtime = upstreams[upstream.value] ?: return
        runtime.onColdAnnounced(clock.monotonicNanos())
        cacheDirectory.removeUpstream(runtime)
    }

    /** Cache event: [upstream] has stored the prefix block [block]. */
    public fun onBlockStored(
        upstream: UpstreamId,
        block: Long,
    ) {
        upstreams[upstream.value]?.let { cacheDirectory.recordStored(block, it) }
    }

    /** Cache event: [upstream] has evicted the prefix block [block]. */
    public fun onBlockEvicted(
        upstream: UpstreamId,
        block: Long,
    ) {
        upstreams[upstream.value]?.let { cacheDirectory.recordEvicted(block, it) }
    }

    /** Removes and returns the oldest queued event, or null if there is none. */
    public fun pollEvent(): RoutingEvent? = events.removeFirstOrNull()

    private fun decide(
        request: RoutingRequest,
        reserve: Boolean,
    ): Selection {
        trace.clear()
        search.clear()
        suspectFallbackPool = null
        val now = clock.monotonicNanos()
        search.contended = now < contendedUntil
        for (name in request.route.pools) {
            val pool = pools[name.value] ?: continue
            val chosen = selectInPool(pool, request, now, reserve)
            if (chosen != null) return choose(chosen, pool, now, reserve, request)
            if (suspectFallbackPool == null && search.suspectFallback != null) suspectFallbackPool = pool
        }
        val suspect = search.suspectFallback
        val suspectPool = suspectFallbackPool
        if (suspect != null && suspectPool != null) return choose(suspect, suspectPool, now, reserve, request)
        val explanation = trace.toExplanation(exclusions(request))
        if (!search.foundBusyCandidate) return Selection.NoUpstream(explanation)
        if (reserve) contendedUntil = now + CONTENTION_NANOS
        return Selection.AtCapacity(explanation)
    }

    private fun selectInPool(
        pool: PoolIndex,
        request: RoutingRequest,
        now: Long,
        reserve: Boolean,
    ): UpstreamRuntime? {
        search.clearFallback()
        val key = routingKey(request, pool)
        val first = pool.shares.choose(key)
        if (first < 0) return null
        var chargedGroup = first
        var found = search.search(pool.groups[first], key, request, now) ?: search.fallback
        var other = 0
        while (found == null && other < pool.groups.size) {
            if (pool.mayOverflow(first, other)) {
                found = search.search(pool.groups[other], key, request, now) ?: search.fallback
                chargedGroup = other
            }
            other++
        }
        if (found != null && reserve) pool.shares.charge(chargedGroup)
        return found
    }

    private fun routingKey(
        request: RoutingRequest,
        pool: PoolIndex,
    ): Long {
        if (request.prefix.isEmpty()) return Hashing.mix(request.spreadKey)
        return prefixKeys.choose(request.prefix, pool.size)
    }

    private fun choose(
        chosen: UpstreamRuntime,
        pool: PoolIndex,
        now: Long,
        reserve: Boolean,
        request: RoutingRequest,
    ): Selection {
        trace.record(chosen, Verdict.CHOSEN)
        val explanation = trace.toExplanation(exclusions(request))
        if (reserve) chosen.onCallStarted(now)
        return Selection.Chosen(chosen.spec, pool.pool.name, explanation)
    }

    private fun exclusions(request: RoutingRequest): List<PoolExclusion> {
        val names = request.route.pools
        if (names.size == 1) return pools[names[0].value]?.exclusions.orEmpty()
        return names.flatMap { pools[it.value]?.exclusions.orEmpty() }
    }

    private fun observeTarget(
        runtime: UpstreamRuntime,
        outcome: CallOutcome.Answered,
    ) {
        for (membership in runtime.memberships) {
            membership.tier.target.observe(outcome.timeToFirstByte.toNanos(), membership.tier.utilisation)
        }
    }

    private fun runtime(spec: UpstreamSpec): UpstreamRuntime {
        val known = upstreams.getOrPut(spec.id.value) { UpstreamRuntime(spec, settings, clock.monotonicNanos()) }
        known.reconfigure(spec)
        return known
    }

    private fun enqueueEvent(event: RoutingEvent) {
        if (events.size >= MAX_EVENTS) events.removeFirst()
        events.addLast(event)
    }

    /** Age of [report] by the wall clock; zero if its time is in the future or invalid. */
    private fun age(report: LoadReport): Duration {
        val measured =
            try {
                Instant.parse(report.measuredAt)
            } catch (e: DateTimeParseException) {
                return Duration.ZERO
            }
        return Duration.between(measured, clock.now()).coerceAtLeast(Duration.ZERO)
    }

    private companion object {
        /** Duration of contention after a request found no capacity; longer than the lag of load reports. */
        const val CONTENTION_NANOS = 2_000_000_000L

        /** Maximum number of queued events. The next detection repeats an event, so dropping the oldest loses little. */
        const val MAX_EVENTS = 1_000
    }
}
