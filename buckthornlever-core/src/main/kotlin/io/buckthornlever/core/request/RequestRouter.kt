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
 * Routing of one entry instance: configuration, what is known about upstreams, and the choice per request. Not thread-safe;
 * all calls come from one thread or are made under one lock. A decision looks at a few candidates per price tier, so that its
 * time and allocation do not depend on the number of upstreams.
 */
public class RequestRouter(
    self: InstanceId,
    private val clock: Clock,
    private val settings: RoutingSettings = RoutingSettings(),
) : UpstreamSelector {
    private val upstreams = HashMap<String, UpstreamRuntime>()
    private val targets = HashMap<String, UtilisationTarget>()
    private val weights = HashMap<PoolName, Map<VersionLabel, Double>>()
    private val shares = ColdStartShares(self, settings, clock.monotonicNanos())
    private val directory = CacheDirectory()
    private val prefixKeys = PrefixKeyChooser()
    private val trace = DecisionTrace()
    private val search = CandidateSearch(shares, directory, trace)
    private val events = ArrayDeque<RoutingEvent>()
    private var pools: Map<String, PoolIndex> = emptyMap()
    private val listed = HashSet<String>()
    private var lastResortPool: PoolIndex? = null
    private var contendedUntil = Long.MIN_VALUE
    private var table = PoolTable()

    /** Finds routes by the tables in effect. */
    public var matcher: RouteMatcher = RouteMatcher(Configuration().routes)
        private set

    override fun configure(configuration: Configuration) {
        matcher = RouteMatcher(configuration.routes)
        if (configuration.pools == table) return
        table = configuration.pools
        listed.clear()
        upstreams.values.forEach { it.memberships = emptyList() }
        val builder =
            RoutingIndexBuilder(
                ::runtime,
                { name -> targets.getOrPut(name) { UtilisationTarget(settings.firstByteTarget.toNanos()) } },
            )
        val earlier = pools
        pools = builder.build(table).associateBy { it.pool.name.value }
        for ((name, pool) in pools) {
            earlier[name]?.let(pool::continueFrom)
            weights[pool.pool.name]?.let(pool::setWeights)
        }
        table.pools.forEach { pool -> pool.upstreams.mapTo(listed) { it.id.value } }
        upstreams.entries.removeIf { it.key !in listed && it.value.inFlight == 0 }
    }

    override fun onMembersChanged(live: Collection<InstanceId>): Unit = shares.onMembersChanged(live, clock.monotonicNanos())

    /** Sets the shares of a pool's versions by weight; a version that is not named gets nothing. Null removes the weights. */
    public fun versionWeights(
        pool: PoolName,
        byVersion: Map<VersionLabel, Double>?,
    ) {
        if (byVersion == null) weights.remove(pool) else weights[pool] = byVersion
        pools[pool.value]?.setWeights(byVersion)
    }

    override fun select(request: RoutingRequest): Selection {
        val selection = decide(request, true)
        if (selection is Selection.Chosen && request.prefix.isNotEmpty()) prefixKeys.record(request.prefix)
        return selection
    }

    /** The decision that [select] would make now, without reserving a place. */
    public fun explain(request: RoutingRequest): Selection = decide(request, false)

    override fun onCallFinished(
        upstream: UpstreamId,
        outcome: CallOutcome,
    ) {
        val runtime = upstreams[upstream.value] ?: return
        if (outcome is CallOutcome.Answered && outcome.workClass == WorkClass.INTERACTIVE) observeTarget(runtime, outcome)
        val becameCold = runtime.onCallFinished(outcome, clock.monotonicNanos())
        if (becameCold) announce(RoutingEvent.BecameCold(upstream))
        if (runtime.inFlight == 0 && upstream.value !in listed) upstreams.remove(upstream.value)
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

    /** The platform or a peer has announced that [upstream] is about to end. */
    public fun leavingAnnounced(upstream: UpstreamId) {
        upstreams[upstream.value]?.onLeavingAnnounced()
    }

    /** A peer has found [upstream] to be cold, or it has just been started. */
    public fun coldAnnounced(upstream: UpstreamId) {
        val runtime = upstreams[upstream.value] ?: return
        runtime.onColdAnnounced(clock.monotonicNanos())
        directory.forget(runtime)
    }

    /** A cache event: [upstream] holds the prefix block [block]. */
    public fun onBlockStored(
        upstream: UpstreamId,
        block: Long,
    ) {
        upstreams[upstream.value]?.let { directory.stored(block, it) }
    }

    /** A cache event: [upstream] has dropped the prefix block [block]. */
    public fun onBlockEvicted(
        upstream: UpstreamId,
        block: Long,
    ) {
        upstreams[upstream.value]?.let { directory.evicted(block, it) }
    }

    /** Takes the oldest event that has not been taken yet, or null. */
    public fun nextEvent(): RoutingEvent? = events.removeFirstOrNull()

    private fun decide(
        request: RoutingRequest,
        reserve: Boolean,
    ): Selection {
        trace.clear()
        search.clear()
        lastResortPool = null
        val now = clock.monotonicNanos()
        search.contended = now < contendedUntil
        for (name in request.route.pools) {
            val pool = pools[name.value] ?: continue
            val chosen = inPool(pool, request, now, reserve)
            if (chosen != null) return accept(chosen, pool, now, reserve, request)
            if (lastResortPool == null && search.lastResort != null) lastResortPool = pool
        }
        val suspect = search.lastResort
        val home = lastResortPool
        if (suspect != null && home != null) return accept(suspect, home, now, reserve, request)
        val explanation = trace.copy(exclusions(request))
        if (!search.sawBusy) return Selection.NoUpstream(explanation)
        if (reserve) contendedUntil = now + CONTENTION_NANOS
        return Selection.AtCapacity(explanation)
    }

    private fun inPool(
        pool: PoolIndex,
        request: RoutingRequest,
        now: Long,
        reserve: Boolean,
    ): UpstreamRuntime? {
        search.clearFallback()
        val key = keyOf(request, pool)
        val first = pool.shares.choose(key)
        if (first < 0) return null
        var charged = first
        var found = search.search(pool.groups[first], key, request, now) ?: search.fallback
        var other = 0
        while (found == null && other < pool.groups.size) {
            if (pool.mayReplace(first, other)) {
                found = search.search(pool.groups[other], key, request, now) ?: search.fallback
                charged = other
            }
            other++
        }
        if (found != null && reserve) pool.shares.charge(charged)
        return found
    }

    private fun keyOf(
        request: RoutingRequest,
        pool: PoolIndex,
    ): Long {
        if (request.prefix.isEmpty()) return Hashing.mix(request.spread)
        return prefixKeys.choose(request.prefix, pool.size)
    }

    private fun accept(
        chosen: UpstreamRuntime,
        pool: PoolIndex,
        now: Long,
        reserve: Boolean,
        request: RoutingRequest,
    ): Selection {
        trace.record(chosen, Verdict.CHOSEN)
        val explanation = trace.copy(exclusions(request))
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

    private fun announce(event: RoutingEvent) {
        if (events.size >= MAX_EVENTS) events.removeFirst()
        events.addLast(event)
    }

    /** Age of [report] by the wall clock; a report from the future or without a valid time counts as new. */
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
        /** Contention after a request found no place; longer than the lag of load reports. */
        const val CONTENTION_NANOS = 2_000_000_000L

        /** Events are repeated by the next detection, so that dropping the oldest loses little. */
        const val MAX_EVENTS = 1_000
    }
}
