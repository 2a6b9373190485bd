package io.buckthornlever.daemon.process

import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.SystemClock
import io.buckthornlever.core.request.LeastLoadedSelector
import io.buckthornlever.daemon.connection.LimitedStatusView
import io.buckthornlever.daemon.connection.LoadPoller
import io.buckthornlever.daemon.connection.UpstreamRegistry
import io.buckthornlever.daemon.process.control.ControlDump
import io.buckthornlever.daemon.process.control.ControlPlane
import io.buckthornlever.daemon.process.control.ControlReporter
import io.buckthornlever.daemon.process.control.ControlSettings
import io.buckthornlever.daemon.process.control.FallbackTables
import io.buckthornlever.daemon.process.control.PeerKeyFile
import io.buckthornlever.daemon.request.AttemptRunner
import io.buckthornlever.daemon.request.CallerServer
import io.buckthornlever.daemon.request.FixedAdmissionGate
import io.buckthornlever.daemon.request.ModelRelay
import io.buckthornlever.daemon.request.OnceRunner
import io.buckthornlever.daemon.request.PlainRelay
import io.buckthornlever.daemon.request.RequestPipeline
import io.buckthornlever.daemon.request.RetryBudgets
import io.buckthornlever.daemon.request.UpstreamAccess
import io.buckthornlever.daemon.version.MoveExchange
import io.buckthornlever.daemon.version.MoveSelector
import io.buckthornlever.daemon.version.OutcomeRecorder
import io.buckthornlever.daemon.version.StatusStore
import io.buckthornlever.daemon.version.TrafficControl
import io.buckthornlever.gateway.process.EventLog
import io.buckthornlever.http.connection.HttpUpstreamClient
import io.buckthornlever.http.process.HttpInstanceList
import io.buckthornlever.http.process.HttpObjectStore
import java.nio.file.Path
import java.time.Duration
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport
import java.util.random.RandomGenerator

/** One entry instance. An ordinary object: several can run in one JVM. */
public class Daemon(
    private val settings: Settings,
    private val clock: Clock = SystemClock,
    random: RandomGenerator = RandomGenerator.getDefault(),
) : AutoCloseable {
    private val log = EventLog(settings.instance.id.value)
    private val metrics = DaemonMetrics()
    private val configuration = ConfigurationHolder(log, metrics)
    private val upstreams = UpstreamRegistry()
    private val client = HttpUpstreamClient()
    private val store = HttpObjectStore(settings.platform.objectStoreUrl)
    private val background = BackgroundTasks(log)
    private val traffic =
        TrafficControl(
            settings.instance.id,
            clock,
            configuration,
            StatusStore(store),
            MoveExchange(settings.instance.id) { control },
            { control },
            log,
        )
    private val attempts =
        AttemptRunner(client, upstreams, metrics, log, clock, OutcomeRecorder(configuration::get, traffic))
    private val selector =
        MoveSelector(settings.instance.id, LeastLoadedSelector(LimitedStatusView(upstreams) { traffic.snapshot })) { traffic.snapshot }
    private val crashes = CrashRegistry(settings.instance.id, clock)
    private val access = UpstreamAccess(selector, client, upstreams, crashes)
    private val budgets = RetryBudgets(clock)
    private val pipeline =
        RequestPipeline(
            configuration = configuration,
            gate = FixedAdmissionGate(settings.limits.concurrentRequests),
            models = ModelRelay(access, attempts, budgets, clock, log),
            plain = PlainRelay(access, attempts, budgets, clock, OnceRunner(store, clock, background)),
            clock = clock,
            random = random,
            metrics = metrics,
            log = log,
        )
    private val peerKeys =
        PeerKeyFile(Path.of(settings.keys.peerKeyFile)) { log.write(LogEvent.PEER_KEYS_REFUSED, "error" to it) }

    /** Membership, configuration and leases of this instance. */
    public val control: ControlPlane =
        ControlPlane(
            settings = controlSettings(random),
            keys = peerKeys::get,
            store = store,
            instances = HttpInstanceList(settings.platform.instanceListUrl),
            clock = clock,
            listener = ControlReporter(configuration, log),
            onError = { log.writeFailure(LogEvent.INTERNAL_ERROR, it) },
        )
    private val poller = LoadPoller(client, configuration, upstreams, log, traffic::observe)
    private val callers = CallerServer(settings, pipeline)
    private val operators =
        OperatorServer(
            settings = settings,
            token = KeyFile(Path.of(settings.keys.operatorTokenFile)),
            configuration = configuration,
            editor = ConfigurationEditor(store, configuration, log, control::offer),
            control = control,
            metrics = metrics,
            ready = ::isReady,
            dump = ::dump,
        )

    /** Base URL of the callers' interface. */
    public val callerUrl: String get() = "http://${settings.listen.address}:${callers.port}"

    /** Base URL of the operators' interface. */
    public val operatorUrl: String get() = "http://${settings.listen.address}:${operators.port}"

    /** Port of the protocol between entry instances; valid after [start]. */
    public val peerPort: Int get() = control.address.port

    /** The configuration in effect. */
    public val effectiveConfiguration: Configuration get() = configuration.get()

    /** True when the instance has a configuration and takes requests. */
    public fun isReady(): Boolean = !pipeline.closing && configuration.get().routes.revision > 0 && configuration.get().pools.revision > 0

    /** Starts all servers and threads. */
    public fun start() {
        operators.start()
        callers.start()
        peerKeys.get()
        control.start()
        control.joinLease(CONTROL_LEASE)
        traffic.start()
        poller.start()
        background.repeat(EXPIRY_PERIOD, crashes::expire)
        log.write(LogEvent.STARTED, "callers" to callerUrl, "operators" to operatorUrl, "site" to settings.site)
    }

    /** Refuses new requests, waits for the open ones up to the grace period, then stops everything. */
    override fun close() {
        log.write(LogEvent.SHUTDOWN_STARTED, "open" to pipeline.openRequests)
        pipeline.closing = true
        control.leave()
        awaitOpenRequests(settings.shutdownGrace)
        if (pipeline.openRequests > 0) log.write(LogEvent.SHUTDOWN_GRACE_OVER, "open" to pipeline.openRequests)
        background.drain(BACKGROUND_DRAIN)
        background.close()
        traffic.close()
        control.resign(CONTROL_LEASE)
        control.close()
        poller.close()
        callers.close()
        operators.close()
        log.write(LogEvent.STOPPED)
    }

    private fun controlSettings(random: RandomGenerator): ControlSettings =
        ControlSettings(
            site = settings.site,
            id = settings.instance.id,
            failureDomain = settings.instance.failureDomain,
            host = settings.listen.address,
            port = settings.listen.peerPort,
            initial = FallbackTables.read(settings.fallbackConfigurationFile) { log.write(LogEvent.CONFIGURATION_REFUSED, "error" to it) },
            seed = random.nextLong(),
        )

    private fun awaitOpenRequests(grace: Duration) {
        val end = clock.monotonicNanos() + grace.toNanos()
        while (pipeline.openRequests > 0 && clock.monotonicNanos() < end) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(DRAIN_CHECK_MILLIS))
        }
    }

    private fun dump(): StateDump {
        val current = configuration.get()
        return StateDump(
            instance = settings.instance.id.value,
            failureDomain = settings.instance.failureDomain.value,
            site = settings.site,
            version = BuildVersion.text,
            ready = isReady(),
            openRequests = pipeline.openRequests,
            routesRevision = current.routes.revision,
            poolsRevision = current.pools.revision,
            accountsRevision = current.accounts.revision,
            domainsOut = current.pools.domainsOut.map { it.value },
            control = control.snapshot()?.let {
                ControlDump.of(it, control.counters, control.permit(CONTROL_LEASE, honoursFencing = true)?.fencing)
            },
            upstreams = current.pools.pools.flatMap { it.upstreams }.take(MAX_DUMPED_UPSTREAMS).map { spec ->
                val status = upstreams.statusOf(spec)
                StateDump.UpstreamDump(
                    id = spec.id.value,
                    failureDomain = spec.failureDomain.value,
                    version = spec.version.value,
                    inFlight = status.inFlight,
                    reportedLoad = status.reportedLoad,
                    capacity = status.capacity,
                    cold = status.cold,
                    leaving = status.leaving,
                    healthy = status.healthy,
                )
            },
        )
    }

    public companion object {
        /** Name of the lease under which one instance decides on moves and capacity. */
        public const val CONTROL_LEASE: String = "control"

        private val BACKGROUND_DRAIN: Duration = Duration.ofSeconds(2)
        private const val DRAIN_CHECK_MILLIS = 20L
        private const val MAX_DUMPED_UPSTREAMS = 200
        private val EXPIRY_PERIOD: Duration = Duration.ofSeconds(10)
    }
}
