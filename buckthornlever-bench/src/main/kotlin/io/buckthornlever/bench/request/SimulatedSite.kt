package io.buckthornlever.bench.request

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.AccountTable
import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.Pool
import io.buckthornlever.api.process.PoolName
import io.buckthornlever.api.process.PoolTable
import io.buckthornlever.api.process.Route
import io.buckthornlever.api.process.RouteMatch
import io.buckthornlever.api.process.RouteName
import io.buckthornlever.api.process.RouteTable
import io.buckthornlever.api.process.ServiceKind
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.api.request.WorkClass
import io.buckthornlever.api.version.VersionLabel
import io.buckthornlever.bench.process.Site
import io.buckthornlever.core.request.AdmissionController
import io.buckthornlever.core.request.AdmissionQueue
import io.buckthornlever.core.request.RequestRouter
import io.buckthornlever.core.request.UpstreamSelector
import java.time.Duration
import kotlin.random.Random

/** Entry instances, engines, lagging load reports and late cache events with gaps, in one event loop. */
internal class SimulatedSite(
    site: Site,
    private val naive: Boolean,
    seed: Long,
    private val engineSettings: EngineSettings = EngineSettings(),
    private val accounts: AccountTable = AccountTable(),
    engineCount: Int = if (site == Site.PECAN_ROW) 6 else 8,
) {
    val loop = EventLoop()
    val ledger = CacheLedger()
    val engines: List<SimulatedEngine> = (0 until engineCount).map { SimulatedEngine(spec(it), engineSettings, loop, ledger) }
    val configuration = Configuration(routeTable(), PoolTable(1, listOf(pool())), accounts)
    val entries = ArrayList<SimulatedEntry>()
    private val random = Random(seed)
    private val byId = engines.associateBy { it.spec.id.value }

    init {
        val instances = (0 until if (site == Site.PECAN_ROW) 9 else 8).map { InstanceId("entry-$it") }
        instances.forEach { addEntry(it, instances) }
        engines.forEach(::connect)
    }

    /** Starts an entry instance that sees [live] as the members. */
    fun addEntry(
        id: InstanceId,
        live: List<InstanceId>,
    ): SimulatedEntry {
        val selector = selector(id, loop.clock)
        selector.configure(configuration)
        selector.onMembersChanged(live)
        val queue: AdmissionQueue = if (naive) NaiveAdmission() else AdmissionController(loop.clock)
        queue.configure(accounts)
        val entry = SimulatedEntry(id, selector, queue, byId, routes(), loop)
        entries.add(entry)
        return entry
    }

    /** Ends an entry instance; what it has dispatched still runs. */
    fun removeEntry(entry: SimulatedEntry) {
        entry.dead = true
        entries.remove(entry)
    }

    /** Hands [call] to a random entry instance, as the platform's load balancer does. */
    fun arrive(call: SimulatedCall) = entries.random(random).accept(call)

    private fun selector(
        id: InstanceId,
        clock: Clock,
    ): UpstreamSelector = if (naive) NaiveSelector() else RequestRouter(id, clock)

    private fun connect(engine: SimulatedEngine) {
        loop.every(REPORT_PERIOD, Duration.ofMillis(random.nextLong(REPORT_PERIOD.toMillis()))) {
            val report = engine.report()
            val lag = Duration.ofMillis(random.nextLong(MIN_LAG_MILLIS, MAX_LAG_MILLIS))
            entries.toList().forEach { entry ->
                loop.after(lag.plusMillis(random.nextLong(LAG_SPREAD_MILLIS))) {
                    entry.selector.onLoadReported(engine.spec.id, report)
                    entry.poll()
                }
            }
        }
        if (!naive) engine.onCacheChange = { stored, evicted -> sendCacheEvents(engine, stored, evicted) }
    }

    private fun sendCacheEvents(
        engine: SimulatedEngine,
        stored: List<Long>,
        evicted: List<Long>,
    ) {
        for (entry in entries) {
            if (random.nextInt(100) < LOST_EVENTS_PERCENT) continue
            val router = entry.selector as RequestRouter
            loop.after(Duration.ofMillis(random.nextLong(MIN_LAG_MILLIS, 2 * MAX_LAG_MILLIS))) {
                stored.forEach { router.onBlockStored(engine.spec.id, it) }
                evicted.forEach { router.onBlockEvicted(engine.spec.id, it) }
            }
        }
    }

    private fun spec(index: Int): UpstreamSpec =
        UpstreamSpec(
            id = UpstreamId("engine-$index"),
            url = "http://127.0.0.1:${20_000 + index}",
            failureDomain = FailureDomain("zone-${index % 3}"),
            version = VersionLabel("v1"),
            pricePerHour = 10.0,
            concurrency = engineSettings.slots,
            coldConcurrency = engineSettings.coldSlots,
        )

    private fun pool() = Pool(POOL, ServiceKind.MODEL, engines.map { it.spec })

    private fun routeTable() = RouteTable(1, routes().values.toList())

    private fun routes(): Map<WorkClass, Route> =
        listOf(WorkClass.INTERACTIVE, WorkClass.LONG).associateWith { work ->
            Route(RouteName(work.name), RouteMatch("/v1/completions", work.name), ServiceKind.MODEL, work, listOf(POOL))
        }

    private companion object {
        val POOL = PoolName("models")
        val REPORT_PERIOD: Duration = Duration.ofMillis(500)
        const val MIN_LAG_MILLIS = 200L
        const val MAX_LAG_MILLIS = 800L
        const val LAG_SPREAD_MILLIS = 50L
        const val LOST_EVENTS_PERCENT = 5
    }
}
