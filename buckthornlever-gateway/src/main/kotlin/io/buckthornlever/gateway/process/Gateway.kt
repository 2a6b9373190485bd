package io.buckthornlever.gateway.process

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.serving.InstanceRecord
import io.buckthornlever.api.serving.QuotaHoldings
import io.buckthornlever.api.serving.SingletonDuties
import io.buckthornlever.api.serving.StateFailure
import io.buckthornlever.api.serving.StateKind
import io.buckthornlever.api.serving.StateObject
import io.buckthornlever.api.serving.StateStore
import io.buckthornlever.api.serving.StateValue
import io.buckthornlever.core.serving.PoisonRequestTracker
import io.buckthornlever.core.serving.DemandMeter
import io.buckthornlever.core.serving.LeaseCandidates
import io.buckthornlever.core.serving.LocalQuotaLimiter
import io.buckthornlever.core.serving.LapseGracePeriod
import io.buckthornlever.core.serving.RelayLog
import io.buckthornlever.core.serving.ServiceRetryBudget
import io.buckthornlever.core.serving.ServingTableCache
import io.buckthornlever.core.serving.UpstreamBalancer
import io.buckthornlever.core.serving.UsageLedger
import io.buckthornlever.gateway.connection.CallerListener
import io.buckthornlever.gateway.connection.ConnectionPool
import io.buckthornlever.gateway.connection.ServerAddress
import io.buckthornlever.gateway.request.CallerProtocol
import io.buckthornlever.gateway.request.RequestAdmission
import io.buckthornlever.gateway.request.ServingContext
import io.netty.channel.EventLoop
import java.time.Duration
import java.util.concurrent.TimeUnit

/**
 * One gateway process: it follows the shared state, serves callers, tells its peers what they share and takes its turn at the
 * singleton duties. All of it runs on [loop], so that no state needs a lock.
 */
public class Gateway(
    private val settings: GatewaySettings,
    private val loop: EventLoop,
    private val clock: Clock,
    private val protocol: CallerProtocol,
    private val directStore: StateStore,
    duties: SingletonDuties,
    private val log: EventLog,
    private val onStopped: () -> Unit,
) {
    private val belief = ServingTableCache(settings.tableAgeLimits)
    private val board = UpstreamBalancer(InstanceId(settings.instance), settings.domain)
    private val incarnation = clock.now().toEpochMilli()
    private val held = LocalQuotaLimiter(settings.instance, settings.quota, clock.monotonicNanos(), settings.firstStart)
    private val repeats = ServiceRetryBudget(settings.retryRatio, settings.retryWindow, settings.retrySlack)
    private val crashes = PoisonRequestTracker()
    private val usage = UsageLedger(settings.usageWindow?.toMillis() ?: DEFAULT_WINDOW_MILLIS)
    private val demand = DemandMeter()
    private val metrics = GatewayMetrics()
    private val pool = ConnectionPool(loop, clock, UPSTREAM_CONNECT_TIMEOUT)
    private val peers = PeerExchange(loop, clock, settings.instance, Node())
    private val quotas =
        QuotaCharger(
            settings.instance,
            incarnation,
            loop,
            clock,
            held,
            { belief.table?.account(it) },
            peers::send,
            { peers.record(it)?.domain == settings.domain },
            { divisions.raise(it) },
        )
    private val context =
        ServingContext(loop, clock, protocol, belief, board, quotas, repeats, crashes, usage, demand, pool, log, metrics)
    private val admission = RequestAdmission(context, { divisions.known }, ::checkPause)
    private val callers = CallerListener(loop, admission, clock)
    private val probes = CallerListener(loop, ProbeService(::isReady, metrics), clock)
    private val record =
        InstanceRecord(settings.instance, settings.peerAddress.host, settings.peerAddress.port, settings.domain, settings.linkMegabits)
    private val relayLogs = FOLLOWED.associateWith { RelayLog(RelayWaits.maxAge(it)) }
    private val relay = RelayService(loop, clock, relayLogs, ::checkPause)
    private val followers = CallerListener(loop, relay, clock)
    private val store: StateStore = RelayedStore(directStore, record, peers::members, loop, clock, log)
    private val divisions = QuotaDivisions(settings, record, store, clock, held, log)
    private val runner = DutyRunner(settings.instance, clock, store, duties, usage, settings.usageWindow, settings.leaseTtl, log)
    private val orders =
        OrderRunner(settings.instance, settings.domains, clock, duties, board, demand, log, runner::superseded)
    private val pauses = PauseDetector(clock.monotonicNanos(), incarnation)
    private val evacuated = HashSet<FailureDomain>()
    private var live: Set<String>? = null
    private var storeLost = false
    private val lapses = LapseGracePeriod()
    private var wasReady = false
    private var stoppingSince: Long? = null

    /** Starts to serve and returns the port for callers; throws an exception when an address cannot be used. */
    public fun start(): Int {
        val port = callers.listen(settings.callerAddress)
        probes.listen(settings.probeAddress)
        followers.listen(settings.peerAddress)
        loop.execute {
            peers.start(settings.peerAddress)
            feeds().forEach { (kind, wait) -> StateFeed(kind, wait, store, loop, clock, Feed(kind)).start() }
            divisions.start { release() }
            register()
            tick()
            loop.schedule(log::open, LOG_OPENS_MILLIS, TimeUnit.MILLISECONDS)
        }
        metrics.gauge("buckthornlever_open_connections", "Open connections of callers") { callers.openConnections.toDouble() }
        metrics.gauge("buckthornlever_upstreams", "Upstreams that have not announced their end") {
            board.upstreams.count { !it.upstream.leaving }.toDouble()
        }
        metrics.gauge("buckthornlever_requests_waiting", "Requests that wait for room") { context.queues.waitingCount.toDouble() }
        log.write(GatewayEvent.STARTED, "callers" to settings.callerAddress.host + ":" + port, "domain" to settings.domain)
        return port
    }

    /** Stops to ask for connections, serves what callers have sent, and ends the process when nothing is left or the grace is over. */
    public fun stop() {
        if (stoppingSince != null) return
        stoppingSince = clock.monotonicNanos()
        admission.draining = true
        log.write(GatewayEvent.SHUTDOWN_STARTED, "open" to callers.openConnections)
        stopStep()
    }

    private fun stopStep() {
        val since = stoppingSince ?: return
        val passed = Duration.ofNanos(clock.monotonicNanos() - since)
        if (passed >= LAST_REQUESTS) admission.refusesNewRequests = true
        if (passed >= BALANCER_LEAVES) callers.closeIdle()
        val graceOver = passed >= settings.grace.minus(EXIT_MARGIN)
        if (graceOver || (passed >= BALANCER_LEAVES && callers.openConnections == 0)) {
            peers.tellNow()
            log.open()
            log.write(GatewayEvent.STOPPED, "open" to callers.openConnections, "afterMillis" to passed.toMillis())
            loop.schedule(onStopped, LAST_WORDS_MILLIS, TimeUnit.MILLISECONDS)
            return
        }
        loop.schedule({ stopStep() }, STOP_STEP_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** Serves the requests that waited for what is known now. */
    private fun release() {
        if (belief.table != null && divisions.known) admission.releaseParked()
    }

    private fun isReady(): Boolean {
        val ready = stoppingSince == null && belief.isReady(clock.monotonicNanos())
        if (ready != wasReady) {
            wasReady = ready
            log.write(
                GatewayEvent.READINESS_CHANGED,
                "ready" to ready,
                "table" to belief.table?.version,
                "tableAgeMillis" to belief.age(clock.monotonicNanos())?.toMillis(),
            )
        }
        return ready
    }

    private fun tick() {
        loop.schedule({ tick() }, TICK_MILLIS, TimeUnit.MILLISECONDS)
        val now = clock.monotonicNanos()
        checkPause()
        relay.tick()
        if (!lapses.isActive(now)) {
            board.removeLapsedBefore(now).forEach { log.write(GatewayEvent.UPSTREAM_GONE, "upstream" to it) }
        }
        members()
        if (stoppingSince == null) runner.tick(LeaseCandidates.includes(settings.instance, peers.live()))
        val table = belief.table
        val fencing = runner.fencing
        if (table != null && fencing != null) orders.tick(table, fencing)
        if (table != null && fencing != null) divisions.plan(table.accounts, peers.members())
    }

    private fun checkPause() {
        val now = clock.monotonicNanos()
        val paused = pauses.check(now, clock.now().toEpochMilli())
        if (paused.isZero) return
        belief.onPause(now)
        held.onPause(now)
        relayLogs.values.forEach { it.onPause(now) }
        log.write(GatewayEvent.PAUSE_DETECTED, "millis" to paused.toMillis())
    }

    private fun members() {
        val now = peers.live()
        if (now == live) return
        live = now
        repeats.instances = now.size + 1
        board.updateInstances((now + settings.instance).mapTo(HashSet()) { InstanceId(it) })
        log.write(GatewayEvent.PEERS_CHANGED, "live" to now.size + 1)
    }

    private fun feeds(): Map<StateKind, Duration> =
        mapOf(
            StateKind.SERVING_TABLE to Duration.ofMillis((settings.tableAgeLimits.readiness.toMillis() * CONFIRMATION_PART).toLong()),
            StateKind.UPSTREAMS to UPSTREAMS_WAIT,
            StateKind.EVACUATIONS to EVACUATIONS_WAIT,
            StateKind.INSTANCES to SLOW_WAIT,
            StateKind.QUOTA_HOLDINGS to SLOW_WAIT,
        )

    private fun register() {
        val value = StateValue.Instance(record)
        store.create(StateKind.INSTANCES, settings.instance, value) { result ->
            result.onFailure { failure ->
                when (failure) {
                    is StateFailure.Conflict -> store.replace(StateKind.INSTANCES, settings.instance, null, value) { again ->
                        again.onFailure { registerLater() }
                    }
                    else -> registerLater()
                }
            }
        }
    }

    private fun registerLater() {
        loop.schedule({ register() }, REGISTER_AGAIN_MILLIS, TimeUnit.MILLISECONDS)
    }

    private inner class Node : PeerNode {
        override fun leads(): Boolean = runner.fencing != null

        override fun state(): PeerMessage.State =
            PeerMessage.State(
                settings.instance,
                incarnation,
                ownWindows(),
                crashes.counts(clock.monotonicNanos()),
                demand.ownTotals.toMap(),
            )

        override fun overview(silent: Set<String>): PeerMessage.Overview =
            PeerMessage.Overview(
                settings.instance,
                incarnation,
                runner.fencing ?: 0,
                ownWindows(),
                crashes.countsByInstance(settings.instance, clock.monotonicNanos()),
                silent,
            )

        override fun heard(message: PeerMessage) =
            when (message) {
                is PeerMessage.State -> heard(message)
                is PeerMessage.Overview -> {
                    counted(message.sender, message.incarnation, message.windows)
                    crashes.replacePeers(message.breaks - settings.instance)
                    runner.heldElsewhere()
                }
                is PeerMessage.ChargeQuestion -> {
                    checkPause()
                    quotas.asked(message)
                }
                is PeerMessage.ChargeAnswer -> quotas.answered(message)
                is PeerMessage.ChargeReturned -> quotas.returned(message)
            }

        private fun ownWindows(): Map<Long, Map<String, Long>> =
            usage.recentWindows().mapValues { (_, counts) -> counts.mapKeys { it.key.value } }

        private fun counted(
            sender: String,
            incarnation: Long,
            windows: Map<Long, Map<String, Long>>,
        ) = usage.updatePeer(sender, incarnation, windows.mapValues { (_, counts) -> counts.mapKeys { AccountId(it.key) } })

        private fun heard(state: PeerMessage.State) {
            counted(state.sender, state.incarnation, state.windows)
            crashes.updatePeer(state.sender, state.breaks)
            demand.updatePeer(state.sender, state.incarnation, state.demand, clock.monotonicNanos())
        }
    }

    private inner class Feed(
        private val followed: StateKind,
    ) : StateFeedListener {
        override fun changed(
            kind: StateKind,
            changed: StateObject,
        ) {
            relayLogs.getValue(kind).onChanged(changed)
            when (val value = changed.value) {
                null -> unreadable(kind, changed)
                is StateValue.Table -> tableRead(value)
                is StateValue.Upstream -> {
                    board.onRegistered(value.upstream, clock.monotonicNanos())
                    log.write(
                        GatewayEvent.UPSTREAM_REGISTERED,
                        "upstream" to value.upstream.id,
                        "service" to value.upstream.service,
                        "domain" to value.upstream.domain,
                        "leaving" to value.upstream.leaving,
                        "coldMillis" to value.upstream.coldFor.toMillis(),
                    )
                    context.queues.retry(value.upstream.service)
                }
                is StateValue.Evacuation -> evacuation(FailureDomain(changed.name), true)
                is StateValue.Instance -> peers.listed(value.record)
                is StateValue.Quota -> divisions.read(changed.revision, value.holdings)
                is StateValue.Order, is StateValue.Lease, is StateValue.Usage -> Unit
            }
        }

        override fun tombstone(
            kind: StateKind,
            name: String,
        ) = relayLogs.getValue(kind).onDeleted(name)

        override fun deleted(
            kind: StateKind,
            name: String,
        ) {
            when (kind) {
                StateKind.UPSTREAMS -> upstreamDeleted(UpstreamId(name))
                StateKind.EVACUATIONS -> evacuation(FailureDomain(name), false)
                StateKind.INSTANCES -> peers.unlisted(name)
                else -> Unit
            }
        }

        override fun answered(
            kind: StateKind,
            sentNanos: Long,
        ) {
            if (kind == StateKind.UPSTREAMS) lapses.onStoreAnswered(clock.monotonicNanos())
            if (!storeLost) return
            storeLost = false
            log.write(GatewayEvent.STORE_REGAINED, "kind" to kind)
        }

        override fun synchronised(
            asOfNanos: Long,
            revision: Long,
        ) {
            if (followed == StateKind.SERVING_TABLE) {
                belief.onConfirmed(asOfNanos)
                release()
            }
            if (followed == StateKind.QUOTA_HOLDINGS) {
                divisions.confirmed(asOfNanos)
                release()
            }
            if (relayLogs.getValue(followed).onSynchronised(revision, asOfNanos)) relay.changed(followed)
        }

        override fun failed(
            kind: StateKind,
            failure: StateFailure,
        ) {
            if (failure == StateFailure.HistoryGone) return
            if (kind == StateKind.UPSTREAMS) lapses.onStoreFailed()
            if (storeLost) return
            storeLost = true
            log.write(GatewayEvent.STORE_LOST, "kind" to kind, "failure" to failure)
        }

        override fun historyGone(kind: StateKind): Unit = log.write(GatewayEvent.HISTORY_GONE, "kind" to kind)
    }

    private fun unreadable(
        kind: StateKind,
        changed: StateObject,
    ) {
        log.write(GatewayEvent.STATE_UNREADABLE, "kind" to kind, "name" to changed.name, "revision" to changed.revision)
        if (kind == StateKind.UPSTREAMS) board.onUnregistered(UpstreamId(changed.name))
        // Shares may have other holders in a division that this release cannot read.
        if (kind == StateKind.QUOTA_HOLDINGS) divisions.read(changed.revision, QuotaHoldings(emptyMap()))
    }

    private fun tableRead(value: StateValue.Table) {
        if (!belief.updateIfNewer(value.table)) return
        board.updateTable(value.table)
        log.write(GatewayEvent.TABLE_IN_FORCE, "version" to value.table.version, "routes" to value.table.routes.size)
    }

    private fun upstreamDeleted(id: UpstreamId) {
        val now = clock.monotonicNanos()
        if (lapses.isActive(now)) {
            board.onLapsed(id, now)
            log.write(GatewayEvent.UPSTREAM_LAPSED, "upstream" to id)
        } else {
            board.onUnregistered(id)
            log.write(GatewayEvent.UPSTREAM_GONE, "upstream" to id)
        }
    }

    private fun evacuation(
        domain: FailureDomain,
        begins: Boolean,
    ) {
        if (begins) evacuated.add(domain) else evacuated.remove(domain)
        board.updateEvacuated(evacuated.toSet())
        log.write(GatewayEvent.DOMAINS_EVACUATED, "domains" to evacuated)
    }

    private companion object {
        /** Kinds of objects that every instance follows. */
        val FOLLOWED =
            listOf(StateKind.SERVING_TABLE, StateKind.UPSTREAMS, StateKind.EVACUATIONS, StateKind.INSTANCES, StateKind.QUOTA_HOLDINGS)
        const val TICK_MILLIS = 200L

        /** By then a process on a weak machine serves. */
        const val LOG_OPENS_MILLIS = 1_500L
        const val STOP_STEP_MILLIS = 100L
        const val REGISTER_AGAIN_MILLIS = 500L
        const val DEFAULT_WINDOW_MILLIS = 60_000L

        /** Lets the last datagrams and log lines leave. */
        const val LAST_WORDS_MILLIS = 50L

        /** A balancer notices within this time that the instance is not ready. */
        val BALANCER_LEAVES: Duration = Duration.ofMillis(3_200)

        /** Requests that arrive later are refused at once, since a stream may last longer than what is left of the grace. */
        val LAST_REQUESTS: Duration = Duration.ofMillis(2_800)

        /** Time before the end of the grace at which the process ends by itself. */
        val EXIT_MARGIN: Duration = Duration.ofMillis(500)

        /** Several round trips between failure domains; a lost opening packet counts as no connection. */
        val UPSTREAM_CONNECT_TIMEOUT: Duration = Duration.ofMillis(400)

        /** Part of the age beyond which an instance is not ready, so that one lost answer does not make it so. */
        const val CONFIRMATION_PART = 0.4

        /** Waits of watches: the faster a silent connection has to be noticed, the shorter. */
        val UPSTREAMS_WAIT: Duration = Duration.ofMillis(1_500)
        val EVACUATIONS_WAIT: Duration = Duration.ofSeconds(6)
        val SLOW_WAIT: Duration = Duration.ofSeconds(6)
    }
}
