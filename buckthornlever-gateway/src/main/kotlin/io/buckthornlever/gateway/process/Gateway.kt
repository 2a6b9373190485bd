package io.buckthornlever.gateway.process

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.serving.DiscoveredUpstream
import io.buckthornlever.api.serving.InstanceRecord
import io.buckthornlever.api.serving.ServingTable
import io.buckthornlever.api.serving.SingletonDuties
import io.buckthornlever.api.serving.StateFailure
import io.buckthornlever.api.serving.StateKind
import io.buckthornlever.api.serving.StateObject
import io.buckthornlever.api.serving.StateStore
import io.buckthornlever.api.serving.StateValue
import io.buckthornlever.api.serving.StoreRevision
import io.buckthornlever.core.serving.BalancerOptions
import io.buckthornlever.core.serving.DemandMeter
import io.buckthornlever.core.serving.LapseGracePeriod
import io.buckthornlever.core.serving.LocalQuotaLimiter
import io.buckthornlever.core.serving.PoisonPartTracker
import io.buckthornlever.core.serving.PoisonRequestTracker
import io.buckthornlever.core.serving.QuotaCeilings
import io.buckthornlever.core.serving.RelayLog
import io.buckthornlever.core.serving.ServiceRetryBudget
import io.buckthornlever.core.serving.ServingTableCache
import io.buckthornlever.core.serving.UpstreamBalancer
import io.buckthornlever.core.serving.UsageLedger
import io.buckthornlever.core.version.HeldLease
import io.buckthornlever.core.version.VersionOrders
import io.buckthornlever.gateway.connection.CallerListener
import io.buckthornlever.gateway.connection.ConnectionPool
import io.buckthornlever.gateway.connection.ServerAddress
import io.buckthornlever.gateway.request.CallerProtocol
import io.buckthornlever.gateway.request.OverloadControl
import io.buckthornlever.gateway.request.PoisonGuard
import io.buckthornlever.gateway.request.RequestAdmission
import io.buckthornlever.gateway.request.RequestGuards
import io.buckthornlever.gateway.request.ServingContext
import io.buckthornlever.gateway.request.TrafficCounters
import io.netty.channel.EventLoop
import java.time.Duration
import java.util.concurrent.TimeUnit

/**
 * One gateway process: follows the shared state, serves callers, exchanges state with the other instances and performs the singleton
 * duties while it holds the duty lease. Everything runs on [loop], so that no state needs a lock.
 */
public class Gateway(
    private val settings: GatewaySettings,
    private val loop: EventLoop,
    private val clock: Clock,
    private val protocol: CallerProtocol,
    directStore: StateStore,
    duties: SingletonDuties,
    private val log: EventLog,
    private val onStopped: () -> Unit,
) {
    private val tableCache = ServingTableCache(settings.tableAgeLimits)
    private val balancer =
        UpstreamBalancer(
            InstanceId(settings.instance),
            settings.domain,
            clock,
            BalancerOptions(settings.isEnabled(Feature.EXPECTED_TIME), settings.isEnabled(Feature.LOAD_CHECKS)),
        )
    private val loadSharing = LoadSharing(settings, clock, balancer)
    private val incarnation = clock.now().toEpochMilli()
    private val quotaCeilings = QuotaCeilings(settings.quota.retention, clock.monotonicNanos())
    private val localQuotaLimiter =
        LocalQuotaLimiter(
            settings.instance,
            settings.quota,
            clock.monotonicNanos(),
            quotaCeilings,
            settings.isEnabled(Feature.QUOTA_CREDIT),
        )
    private val retryBudget =
        ServiceRetryBudget(settings.retryRatio, settings.retryWindow, settings.retrySlack) { nanos ->
            quotaCeilings.grantableWithoutAccount(settings.retryWindow, nanos)
        }
    private val poisonRequests = PoisonRequestTracker()
    private val poisonParts = PoisonPartTracker()
    private val metrics = GatewayMetrics()
    private val usageLedger = UsageLedger(settings.usageWindow?.toMillis() ?: DEFAULT_WINDOW_MILLIS)
    private val usageExchange = UsageExchange(usageLedger, clock, metrics)
    private val demand = DemandMeter()
    private val limiters = CallerLimiters(settings.resources, loop, clock, metrics, log)
    private val pool = ConnectionPool(loop, clock, UPSTREAM_CONNECT_TIMEOUT, settings.resources.outboundConnections)
    private val localInstance = GatewayInstance()
    private val peers = PeerExchange(loop, clock, settings, localInstance, log, metrics)
    private val versionOrders =
        VersionOrders(InstanceId(settings.instance), settings.unprovedVersionPercent) { maxOf(MIN_EVIDENCE_INTERVAL, peers.interval) }
    private val quotaCharger =
        QuotaCharger(
            settings.instance,
            incarnation,
            loop,
            clock,
            localQuotaLimiter,
            { tableCache.table?.account(it) },
            peers::send,
            { peers.recordOf(it)?.domain == settings.domain },
            { account, cost -> ceilingStore.raise(account, cost) },
            settings.isEnabled(Feature.QUOTA_CREDIT),
            { peers.versionOf(it) > PeerProtocol.UNSTATED },
        )
    private val context =
        ServingContext(
            loop,
            clock,
            protocol,
            tableCache,
            balancer,
            quotaCharger,
            retryBudget,
            RequestGuards(
                PoisonGuard(poisonRequests, poisonParts),
                OverloadControl(tableCache, balancer, settings::isEnabled, log, metrics),
            ),
            TrafficCounters(usageLedger, demand),
            pool,
            log,
            metrics,
            versionOrders,
        )
    private val admission = RequestAdmission(context, ::isStateRestored, ::checkPause)
    private val callerListener = CallerListener(loop, admission, clock, limiters.callers)
    private val probeListener = CallerListener(loop, ProbeService(::isReady, metrics), clock, limiters.probes)
    private val ownRecord = settings.registration
    private val relayLogs = FollowedKinds.ALL.associateWith { RelayLog(RelayWaits.maxAge(it)) }
    private val relayService = RelayService(loop, clock, relayLogs, limiters.memory::hasRoomFor, tableCache::confirmedTable, ::checkPause)
    private val relayListener = CallerListener(loop, relayService, clock, limiters.relays)
    private val storeCalls = StoreCallCounter(metrics)
    private val store: StateStore =
        RelayedStore(
            CountedStore(directStore, storeCalls, StoreCallCause.FOLLOWED_STATE),
            CountedStore(directStore, storeCalls, StoreCallCause.RELAY_FALLBACK),
            ownRecord,
            // What a relay of a release without versions serves lacks the era.
            { peers.liveRecords().filter { it.protocol > PeerProtocol.UNSTATED } },
            loop,
            clock,
            log,
        )
    private val peerTableReader = PeerTableReader(peers::liveRecords, loop, clock, log, { tableCache.table?.version }, ::onNewerTable)
    private val quotaAllocations = QuotaAllocationStore(settings, ownRecord, store, clock, localQuotaLimiter, log)
    private val ceilingStore =
        QuotaCeilingStore(
            settings.instance,
            settings.firstStart,
            store,
            clock,
            quotaCeilings,
            localQuotaLimiter,
            { tableCache.table?.account(it) },
            log,
        )
    private val dutyRunner =
        DutyRunner(
            settings.instance,
            clock,
            store,
            duties,
            usageLedger,
            settings.usageWindow,
            settings.leaseTtl,
            log,
            settings.usageLate,
            { if (areInstancesListed) peers.liveNames() else null },
            peers::sendNow,
            ::announceRelease,
        )
    private val orderSender =
        UpstreamOrderSender(
            settings,
            clock,
            duties,
            balancer,
            demand,
            versionOrders::orderedVersion,
            log,
            dutyRunner::onSuperseded,
            peers::liveNames,
        )
    private val suspectParts =
        SuspectPartExchange(settings.instance, clock, poisonParts, peers, { dutyRunner.fencing != null }, log)
    private val suspectPartStore = SuspectPartStore(store, clock, poisonParts, log)
    private val versionOrderRunner =
        VersionOrderRunner(settings.instance, clock, versionOrders, balancer, store, peers, ::heldLease, log)
    private val pauseDetector = PauseDetector(clock.monotonicNanos(), clock.now().toEpochMilli())
    private val evacuatedDomains = HashSet<FailureDomain>()
    private var liveInstances: Set<String>? = null
    private var areInstancesListed = false
    private var storeUnavailable = false
    private val restoreDetector = StoreRestoreDetector(store, log, ::onStoreRestored)
    private val registration = InstanceRegistration(loop, store, settings.instance, ownRecord, restoreDetector)
    private val lapseGrace = LapseGracePeriod()

    /** Time after the start of a shutdown beyond which new requests are refused, since they may outlast the rest of the grace. */
    private val acceptanceTime = minOf(BALANCER_REACTION_TIME, Duration.ofMillis((settings.grace.toMillis() * ACCEPTANCE_SHARE).toLong()))
    private var wasReady = false
    private var stoppingSince: Long? = null

    /** Starts serving and returns the port for callers; throws an exception if an address cannot be bound. */
    public fun start(): Int {
        val port = callerListener.listen(settings.callerAddress)
        probeListener.listen(settings.probeAddress)
        relayListener.listen(settings.peerAddress)
        loop.execute {
            peers.start(settings.peerAddress)
            FollowedKinds.ALL.forEach { kind ->
                val wait = FollowedKinds.watchWait(kind, settings.tableAgeLimits)
                StateFeed(kind, wait, FollowedKinds.lostGrace(kind), store, loop, clock, FeedListener(kind)).start()
            }
            if (settings.firstStart) peerTableReader.skip()
            quotaAllocations.read {
                ceilingStore.onAllocationRead()
                releaseWaiting()
            }
            ceilingStore.start { releaseWaiting() }
            suspectPartStore.start(settings.firstStart, ::releaseWaiting)
            registration.register()
            tick()
            loop.schedule(log::open, LOG_OPEN_DELAY_MILLIS, TimeUnit.MILLISECONDS)
        }
        registerGauges()
        log.write(GatewayEvent.STARTED, "callers" to settings.callerAddress.host + ":" + port, "domain" to settings.domain)
        return port
    }

    private fun registerGauges() {
        metrics.registerGauge("buckthornlever_open_connections", "Open connections of callers") {
            callerListener.openConnections.toDouble()
        }
        metrics.registerGauge("buckthornlever_upstreams", "Upstreams that have not announced their end") {
            balancer.upstreams.count { !it.isLeaving }.toDouble()
        }
        metrics.registerGauge("buckthornlever_requests_waiting", "Requests that wait for room") { context.queues.waitingCount.toDouble() }
        metrics.registerGauge("buckthornlever_overloaded_services", "Services whose less urgent requests are delayed or refused") {
            context.overload.engagedCount.toDouble()
        }
        metrics.registerGauge("buckthornlever_version_orders", "Services that operators have ordered to another version") {
            versionOrders.size.toDouble()
        }
        metrics.registerGauge("buckthornlever_limited_upstreams", "Upstreams that state a limit of requests") {
            balancer.upstreams.count { it.statements.requestsPerSecond != null }.toDouble()
        }
        metrics.registerGauge("buckthornlever_paused_upstreams", "Upstreams that want no requests from this instance for a time") {
            val now = clock.monotonicNanos()
            balancer.upstreams.count { it.statements.isPaused(now) }.toDouble()
        }
        metrics.registerGauge("buckthornlever_load_figure_age_seconds", "Mean age of the load figures of upstreams") {
            val now = clock.monotonicNanos()
            val ages = balancer.upstreams.mapNotNull { it.figureAge(now) }
            if (ages.isEmpty()) 0.0 else ages.sumOf { it.toNanos() / NANOS_PER_SECOND } / ages.size
        }
        metrics.registerGauge("buckthornlever_leaving_upstreams", "Registered upstreams that have announced their end") {
            balancer.upstreams.count { it.isLeaving }.toDouble()
        }
        metrics.registerGauge("buckthornlever_store_era", "Era of the store, which rises when it is restored from a copy") {
            (restoreDetector.era ?: 0).toDouble()
        }
        metrics.registerGauge("buckthornlever_unreported_usage_windows", "Usage windows that have ended and are not known to be reported") {
            val newestEnded = usageLedger.windowIndex(clock.now().toEpochMilli()) - 1
            (newestEnded - (dutyRunner.reportedThrough ?: newestEnded)).coerceAtLeast(0).toDouble()
        }
        metrics.registerGauge("buckthornlever_blocked_prompt_parts", "Prompt parts blocked since runs with them crashed upstreams") {
            poisonParts.blocked.size.toDouble()
        }
    }

    /**
     * Shuts down gracefully: reports not ready, serves the requests in progress, and calls [onStopped] when all connections are closed or
     * the grace period is nearly over.
     */
    public fun stop() {
        if (stoppingSince != null) return
        stoppingSince = clock.monotonicNanos()
        admission.draining = true
        log.write(GatewayEvent.SHUTDOWN_STARTED, "open" to callerListener.openConnections)
        // Written here, too, since the platform may end the process before the grace is over.
        logStoreCalls()
        dutyRunner.resign()
        continueStop()
    }

    private fun continueStop() {
        val since = stoppingSince ?: return
        val elapsed = Duration.ofNanos(clock.monotonicNanos() - since)
        if (elapsed >= acceptanceTime) admission.refusesNewRequests = true
        if (elapsed >= BALANCER_REACTION_TIME) callerListener.closeIdle()
        val isGraceOver = elapsed >= settings.grace.minus(EXIT_MARGIN)
        if (isGraceOver || (elapsed >= BALANCER_REACTION_TIME && callerListener.openConnections == 0)) {
            callerListener.endExchanges()
            usageExchange.onEnded()
            peers.sendNow()
            // While nobody holds the lease, whoever gains it has no other source for the counts of this process and of ended ones.
            peers.sendToCandidates(localInstance.completeState())
            log.open()
            logStoreCalls()
            log.write(GatewayEvent.STOPPED, "open" to callerListener.openConnections, "afterMillis" to elapsed.toMillis())
            loop.schedule(onStopped, EXIT_DELAY_MILLIS, TimeUnit.MILLISECONDS)
            return
        }
        loop.schedule({ continueStop() }, STOP_CHECK_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun logStoreCalls(): Unit =
        log.write(GatewayEvent.STORE_CALLS_COUNTED, "total" to storeCalls.total, "counts" to EventLog.Whole(storeCalls.summary()))

    /** Releases the requests that were parked until the serving table and the state of earlier processes are known. */
    private fun releaseWaiting() {
        if (tableCache.table != null && isStateRestored()) admission.releaseParked()
    }

    /** True once what earlier processes have left in the store is known, or the store could not be reached for it. */
    private fun isStateRestored(): Boolean =
        quotaAllocations.isKnown && ceilingStore.isSettled && suspectPartStore.isSettled && peerTableReader.hasAsked

    private fun isReady(): Boolean {
        val ready = stoppingSince == null && tableCache.isReady(clock.monotonicNanos())
        if (ready != wasReady) {
            wasReady = ready
            log.write(
                GatewayEvent.READINESS_CHANGED,
                "ready" to ready,
                "table" to tableCache.table?.version,
                "tableAgeMillis" to tableCache.age(clock.monotonicNanos())?.toMillis(),
            )
        }
        return ready
    }

    private fun tick() {
        loop.schedule({ tick() }, TICK_MILLIS, TimeUnit.MILLISECONDS)
        val now = clock.monotonicNanos()
        checkPause()
        relayService.tick()
        if (!lapseGrace.isActive(now)) {
            balancer.removeLapsedBefore(now).forEach { log.write(GatewayEvent.UPSTREAM_GONE, "upstream" to it) }
        }
        balancer.registerStanding(now).forEach { log.write(GatewayEvent.UPSTREAM_REGISTERED, "upstream" to it, "standing" to true) }
        updateMembers()
        ceilingStore.update()
        suspectParts.tick()
        suspectPartStore.tick(dutyRunner.fencing != null)
        versionOrderRunner.tick()
        context.overload.tick(now)
        if (stoppingSince == null) dutyRunner.tick(settings.instance in peers.leaseCandidates())
        val table = tableCache.table
        val fencing = dutyRunner.fencing
        if (table != null && fencing != null) orderSender.tick(table, fencing)
        if (table != null && fencing != null) quotaAllocations.allocate(table.accounts, peers.liveRecords())
    }

    private fun checkPause() {
        val now = clock.monotonicNanos()
        val paused = pauseDetector.check(now, clock.now().toEpochMilli())
        if (paused.isZero) return
        tableCache.onPause(now)
        localQuotaLimiter.onPause(now)
        quotaCharger.onPause()
        relayLogs.values.forEach { it.onPause(now) }
        quotaAllocations.read(::releaseWaiting)
        log.write(GatewayEvent.PAUSE_DETECTED, "millis" to paused.toMillis())
    }

    /** What this instance has written since the copy was taken is written again, and what it knows outlasts what the copy has. */
    private fun onStoreRestored() {
        peerTableReader.onStoreRestored()
        balancer.onStoreRestored(clock.monotonicNanos())
        lapseGrace.onStoreRestored(clock.monotonicNanos())
        dutyRunner.onStoreRestored()
        ceilingStore.onStoreRestored()
        suspectPartStore.onStoreRestored()
        versionOrders.onStoreRestored()
        registration.confirm()
    }

    private fun updateMembers() {
        if (!areInstancesListed) return
        retryBudget.instances = peers.registeredCount + 1
        val names = peers.liveNames()
        if (names == liveInstances) return
        liveInstances = names
        balancer.updateInstances((names + settings.instance).mapTo(HashSet()) { InstanceId(it) })
        log.write(GatewayEvent.PEERS_CHANGED, "live" to names.size + 1)
    }

    /** Tells the candidates for the duty lease that this instance has given it back, with what only its holder knows. */
    private fun announceRelease(version: ObjectVersion): Unit = peers.sendToCandidates(holderStatus(version, Duration.ZERO, true))

    private fun holderStatus(
        version: ObjectVersion,
        left: Duration,
        isLast: Boolean,
    ): List<PeerMessage.HolderStatus> {
        val now = clock.monotonicNanos()
        val scaled = tableCache.table?.services.orEmpty().filter { it.scaling != null }
        val rates = scaled.associate { it.name to demand.tokensPerSecond(it.name, now) }
        val status = PeerMessage.HolderStatus(settings.instance, version.value, left.toMillis(), rates, dutyRunner.isRenewalUncertain)
        val ended = usageExchange.endedProcesses(dutyRunner.reportedThrough, peers.liveNames(), isLast)
        return if (ended.isEmpty()) listOf(status) else ended.map { status.copy(ended = it) }
    }

    private inner class GatewayInstance : LocalInstance {
        override val record: InstanceRecord get() = ownRecord

        override fun holdsDutyLease(): Boolean = dutyRunner.fencing != null

        override fun state(): PeerMessage.State =
            PeerMessage.State(
                settings.instance,
                incarnation,
                usageExchange.ownWindows(dutyRunner.reportedThrough),
                poisonRequests.counts(clock.monotonicNanos()),
                demand.ownTotals.toMap(),
                usageExchange.firstOpenWindow,
                loads = loadSharing.own(),
                accountRates = context.overload.ownAccountRates(clock.monotonicNanos()),
            )

        override fun completeState(): List<PeerMessage.State> {
            val state = state()
            val ended = usageExchange.endedProcesses(dutyRunner.reportedThrough, peers.liveNames(), true)
            return if (ended.isEmpty()) listOf(state) else ended.map { state.copy(ended = it) }
        }

        override fun overview(silent: Set<String>): PeerMessage.Overview =
            PeerMessage.Overview(
                settings.instance,
                incarnation,
                dutyRunner.fencing ?: 0,
                usageExchange.ownWindows(dutyRunner.reportedThrough),
                poisonRequests.countsByInstance(settings.instance, clock.monotonicNanos()),
                silent,
                usageExchange.firstOpenWindow,
                dutyRunner.reportedThrough,
                loads = loadSharing.all(peers.registeredCount, peers.interval),
                accountRates = context.overload.accountRates(clock.monotonicNanos()),
            )

        override fun holderStatus(): List<PeerMessage.HolderStatus> {
            val (version, left) = dutyRunner.heldLease ?: return emptyList()
            return holderStatus(version, left, false)
        }

        override fun onMessage(
            message: PeerMessage,
            version: Int,
        ) =
            when (message) {
                is PeerMessage.HolderStatus -> {
                    val left = Duration.ofMillis(message.validMillis)
                    // Without the era, the version may be that of another record of a restored store; the lease is read instead.
                    if (version > PeerProtocol.UNSTATED || StoreRevision.eraOf(message.leaseVersion) >= store.era) {
                        dutyRunner.onHolderAnnounced(ObjectVersion(message.leaseVersion), left, message.isUncertain)
                    }
                    usageExchange.recordEnded(message.ended)
                    demand.onAnnounced(message.demand, clock.monotonicNanos())
                }
                is PeerMessage.State -> onMessage(message)
                is PeerMessage.Overview -> {
                    usageExchange.record(message.sender, message.incarnation, message.windows, message.firstOpenWindow)
                    poisonRequests.replacePeers(message.breaks - settings.instance)
                    dutyRunner.onHeldElsewhere(message.reportedThrough)
                    loadSharing.onReceived(message.sender, message.incarnation, message.loads)
                    context.overload.onAccountRates(message.accountRates, clock.monotonicNanos())
                }
                is PeerMessage.SuspectParts -> suspectParts.onMessage(message)
                is PeerMessage.VersionEvidence -> versionOrderRunner.onMessage(message)
                is PeerMessage.ChargeRequest,
                is PeerMessage.ChargeResponse,
                is PeerMessage.ChargeRefund,
                is PeerMessage.CreditRequest,
                is PeerMessage.CreditResponse,
                is PeerMessage.CreditReturn,
                -> {
                    checkPause()
                    quotaCharger.onMessage(message)
                }
            }

        private fun onMessage(state: PeerMessage.State) {
            usageExchange.record(state.sender, state.incarnation, state.windows, state.firstOpenWindow)
            usageExchange.recordEnded(state.ended)
            poisonRequests.updatePeer(state.sender, state.breaks)
            loadSharing.onReceived(state.sender, state.incarnation, state.loads)
            context.overload.onPeerAccountRates(state.sender, state.accountRates, clock.monotonicNanos())
            demand.updatePeer(state.sender, state.incarnation, state.demand, clock.monotonicNanos())
        }
    }

    private inner class FeedListener(
        private val followedKind: StateKind,
    ) : StateFeedListener {
        override fun onChanged(
            kind: StateKind,
            changed: StateObject,
        ) {
            val value = changed.value
            if (value is StateValue.Table) return onTable(changed, value)
            if (value is StateValue.Upstream && !onRegistered(value.upstream)) return
            relayLogs.getValue(kind).onChanged(changed)
            when (value) {
                null -> onUnreadable(kind, changed)
                is StateValue.Evacuation -> onEvacuation(FailureDomain(changed.name), true)
                is StateValue.Instance -> peers.addPeer(value.record)
                is StateValue.Quota -> quotaAllocations.update(changed.revision, value.holdings)
                is StateValue.Order -> versionOrderRunner.onOrder(value)
                is StateValue.Table, is StateValue.Upstream -> Unit
                is StateValue.Lease, is StateValue.Usage, is StateValue.Ceilings, is StateValue.SuspectParts -> Unit
            }
        }

        override fun onChangeFailed(
            kind: StateKind,
            changed: StateObject,
            cause: Throwable,
        ) {
            log.writeFailure(GatewayEvent.INTERNAL_ERROR, cause, "kind" to kind, "name" to changed.name, "revision" to changed.revision)
            onUnreadable(kind, changed)
        }

        override fun onStepFailed(
            kind: StateKind,
            cause: Throwable,
        ): Unit = log.writeFailure(GatewayEvent.INTERNAL_ERROR, cause, "kind" to kind)

        override fun onTombstone(
            kind: StateKind,
            name: String,
        ) = relayLogs.getValue(kind).onDeleted(name)

        override fun onDeleted(
            kind: StateKind,
            name: String,
        ) {
            when (kind) {
                StateKind.UPSTREAMS -> onUpstreamDeleted(UpstreamId(name))
                StateKind.EVACUATIONS -> onEvacuation(FailureDomain(name), false)
                StateKind.INSTANCES -> peers.removePeer(name)
                StateKind.VERSION_ORDERS -> versionOrders.onWithdrawn(name)
                StateKind.QUOTA_HOLDINGS -> quotaAllocations.onLost()
                else -> Unit
            }
        }

        override fun onAnswered(
            kind: StateKind,
            sentNanos: Long,
        ) {
            restoreDetector.check()
            if (kind == StateKind.UPSTREAMS) lapseGrace.onStoreAnswered(clock.monotonicNanos())
            if (!storeUnavailable) return
            storeUnavailable = false
            log.write(GatewayEvent.STORE_REGAINED, "kind" to kind)
        }

        override fun onSynchronised(
            asOfNanos: Long,
            revision: Long,
        ) {
            if (followedKind == StateKind.SERVING_TABLE) {
                return peerTableReader.whenSettled {
                    tableCache.onConfirmed(asOfNanos)
                    releaseWaiting()
                    updateRelayLog(asOfNanos, revision)
                }
            }
            if (followedKind == StateKind.INSTANCES) {
                areInstancesListed = true
                updateMembers()
                peerTableReader.onMembersListed()
            }
            if (followedKind == StateKind.QUOTA_HOLDINGS) {
                quotaAllocations.onConfirmed(asOfNanos)
                releaseWaiting()
            }
            updateRelayLog(asOfNanos, revision)
        }

        private fun updateRelayLog(
            asOfNanos: Long,
            revision: Long,
        ) {
            if (relayLogs.getValue(followedKind).onSynchronised(revision, asOfNanos)) relayService.onChanged(followedKind)
        }

        override fun onFailed(
            kind: StateKind,
            failure: StateFailure,
        ) {
            if (failure == StateFailure.HistoryGone) return
            if (kind == StateKind.UPSTREAMS) lapseGrace.onStoreFailed()
            if (storeUnavailable) return
            storeUnavailable = true
            log.write(GatewayEvent.STORE_LOST, "kind" to kind, "failure" to failure)
        }

        override fun onHistoryGone(kind: StateKind): Unit = log.write(GatewayEvent.HISTORY_GONE, "kind" to kind)
    }

    private fun onUnreadable(
        kind: StateKind,
        changed: StateObject,
    ) {
        log.write(GatewayEvent.STATE_UNREADABLE, "kind" to kind, "name" to changed.name, "revision" to changed.revision)
        if (kind == StateKind.UPSTREAMS) balancer.onUnregistered(UpstreamId(changed.name))
        if (kind == StateKind.QUOTA_HOLDINGS) quotaAllocations.onUnreadable(changed.revision)
    }

    private fun onTable(
        changed: StateObject,
        value: StateValue.Table,
    ) {
        val isNewer = tableCache.updateIfNewer(value.table)
        // A store that was restored from a copy may have an older table for a moment; followers get the one in force.
        relayLogs.getValue(StateKind.SERVING_TABLE).onChanged(changed.copy(value = tableCache.table?.let(StateValue::Table)))
        if (isNewer) onTableInForce(value.table)
    }

    /** Another instance has [table], which the store may have lost; followers of this relay get it, too. */
    private fun onNewerTable(table: ServingTable) {
        if (!tableCache.updateIfNewer(table)) return
        relayLogs.getValue(StateKind.SERVING_TABLE).onReplaced(StateValue.Table(table))
        onTableInForce(table)
    }

    private fun onTableInForce(table: ServingTable) {
        balancer.updateTable(table)
        log.write(GatewayEvent.TABLE_IN_FORCE, "version" to table.version, "routes" to table.routes.size)
    }

    /** Returns false if [upstream] is not used, since a newer registration is known; followers of this relay keep that one, too. */
    private fun onRegistered(upstream: DiscoveredUpstream): Boolean {
        val isUsed = balancer.onRegistered(upstream, clock.monotonicNanos())
        log.write(
            if (isUsed) GatewayEvent.UPSTREAM_REGISTERED else GatewayEvent.LATE_REGISTRATION,
            "upstream" to upstream.id,
            "service" to upstream.service,
            "domain" to upstream.domain,
            "leaving" to upstream.leaving,
            "coldMillis" to upstream.coldFor.toMillis(),
            "sequence" to upstream.sequence,
        )
        if (isUsed) context.queues.retry(upstream.service)
        return isUsed
    }

    private fun onUpstreamDeleted(id: UpstreamId) {
        val now = clock.monotonicNanos()
        if (lapseGrace.isActive(now)) {
            balancer.onLapsed(id, now)
            log.write(GatewayEvent.UPSTREAM_LAPSED, "upstream" to id)
        } else {
            balancer.onUnregistered(id)
            log.write(GatewayEvent.UPSTREAM_GONE, "upstream" to id)
        }
    }

    private fun heldLease(): HeldLease? {
        val fencing = dutyRunner.fencing ?: return null
        val (_, left) = dutyRunner.heldLease ?: return null
        return HeldLease(fencing, clock.now().plus(left))
    }

    private fun onEvacuation(
        domain: FailureDomain,
        isEvacuated: Boolean,
    ) {
        if (isEvacuated) evacuatedDomains.add(domain) else evacuatedDomains.remove(domain)
        balancer.updateEvacuated(evacuatedDomains.toSet())
        log.write(GatewayEvent.DOMAINS_EVACUATED, "domains" to evacuatedDomains)
    }

    private companion object {
        const val TICK_MILLIS = 200L
        const val NANOS_PER_SECOND = 1e9

        /** Shortest interval at which an instance sends evidence on ordered versions. */
        val MIN_EVIDENCE_INTERVAL: Duration = Duration.ofMillis(500)

        /** Even a process on a slow host is serving by then. */
        const val LOG_OPEN_DELAY_MILLIS = 1_500L
        const val STOP_CHECK_MILLIS = 100L
        const val DEFAULT_WINDOW_MILLIS = 60_000L

        /** Time for the last datagrams and log lines to be sent. */
        const val EXIT_DELAY_MILLIS = 50L

        /** Time within which a load balancer notices that the instance is not ready. */
        val BALANCER_REACTION_TIME: Duration = Duration.ofMillis(3_200)

        /** Share of the grace period in which new requests are served; most streams end within the rest. */
        const val ACCEPTANCE_SHARE = 0.35

        /** Time before the end of the grace period at which the process exits by itself. */
        val EXIT_MARGIN: Duration = Duration.ofMillis(500)

        /** Several round trips between failure domains; a lost TCP handshake packet counts as a failed connection. */
        val UPSTREAM_CONNECT_TIMEOUT: Duration = Duration.ofMillis(400)
    }
}
