package io.buckthornlever.standin.process

import io.buckthornlever.api.connection.LoadReport
import io.buckthornlever.api.process.Clock
import io.buckthornlever.standin.connection.Exchange
import io.buckthornlever.standin.connection.StandInServer
import io.buckthornlever.standin.connection.WireJson
import io.buckthornlever.standin.request.CompletionRequest
import io.buckthornlever.standin.request.CompletionWriter
import io.buckthornlever.standin.request.CrashCause
import io.buckthornlever.standin.request.EngineArrival
import io.buckthornlever.standin.request.EngineCrash
import io.buckthornlever.standin.request.EngineJob
import io.buckthornlever.standin.request.EngineOrder
import io.buckthornlever.standin.request.EngineOutcome
import io.buckthornlever.standin.request.ForeignChunk
import io.buckthornlever.standin.request.StreamDisturbance
import io.buckthornlever.standin.request.TokenText
import io.javalin.config.RoutesConfig
import io.javalin.http.Context
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.put
import java.time.Duration
import java.time.Instant
import java.util.concurrent.atomic.AtomicLong

/**
 * Stand-in for a model engine with continuous batching and a prefix cache.
 *
 * @property config properties of the engine
 * @param computed blocks computed by the engines of the same site; own ones only by default
 */
public class EngineStandIn(
    public val config: EngineConfig = EngineConfig(),
    computed: ComputedBlocks = ComputedBlocks(),
    private val clock: Clock = SystemTime,
) : AutoCloseable {
    /** Switches for faults. */
    public val faults: EngineFaults = EngineFaults()

    /** Requests that arrived and were executed. */
    public val records: EngineRecords = EngineRecords()

    /** Label of the version that the engine runs; orders change it. */
    @Volatile
    public var version: String = config.version

    /** True once the engine has announced that it leaves. */
    @Volatile
    public var leaving: Boolean = false

    @Volatile
    private var capacity = newCapacity(config.cold)
    private val arrivals = AtomicLong()
    private val cacheEvents = CacheEventLog(clock, faults)
    private val cache = PrefixCache(config.cacheBlocks, cacheEvents)
    private val kv = KvHandles()
    private val scheduler = BatchScheduler(config, cache, computed, kv, records, clock, ::started)
    private val loads = LoadSnapshots(clock, ::measure)
    private val server = StandInServer(config.maxThreads, ::register)
    private val timer = StandInTimer()
    private val orders = OrderEndpoint(config, faults, records, clock, ::execute)
    private val kvEndpoint = KvEndpoint(config, kv, records, scheduler::sequence)

    @Volatile
    private var lastForeignId = "unrelated"

    /** Base URL without a trailing slash; valid after [start] and the same after a restart. */
    public val url: String
        get() = server.url

    /** True while the engine accepts connections. */
    public val isUp: Boolean
        get() = server.isOpen

    /** True while the engine bears only [EngineConfig.coldConcurrency] requests at once. */
    public val isCold: Boolean
        get() = capacity.isCold

    /** Requests in the batch and in the queue; each of them can be cancelled. */
    public val inFlight: Int
        get() = scheduler.inFlight

    /** Largest number of requests in flight since the last start. */
    public val maxInFlight: Int
        get() = capacity.maxInFlight

    /** Largest number of requests in flight while cold since the last start. */
    public val maxInFlightCold: Int
        get() = capacity.maxInFlightCold

    /** Blocks in the prefix cache. */
    public val cachedBlocks: Int
        get() = cache.size

    /** Starts to listen. */
    public fun start(): EngineStandIn {
        server.start()
        scheduler.start()
        return this
    }

    override fun close() {
        timer.close()
        scheduler.endAll {}
        scheduler.close()
        server.close()
        kvEndpoint.close()
    }

    /** Closes all connections at once, as a process death does; restarts if the faults say so. */
    public fun crash(): Unit = die(CrashCause.DEMAND)

    /** Starts again on the same port after a crash, with an empty cache and cold unless [cold] is false. */
    @Synchronized
    public fun restart(cold: Boolean = true) {
        capacity = newCapacity(cold)
        leaving = false
        loads.clear()
        server.start()
    }

    /** Makes the running engine cold, which empties its cache, or warm. */
    public fun setCold(cold: Boolean) {
        if (!cold) return capacity.turnWarm()
        cache.clear()
        capacity.turnCold()
    }

    /** Announces the end in load reports and stops abruptly after [notice]. */
    public fun reclaim(notice: Duration) {
        leaving = true
        timer.after(notice.toMillis()) { die(CrashCause.RECLAIM) }
    }

    /** No byte is delivered any more on connections that are open now; new ones work. */
    public fun silenceOpenConnections(): Unit = server.silenceOpenConnections()

    private fun register(routes: RoutesConfig) {
        routes.post("/v1/completions", guarded(::complete))
        routes.post("/v1/chat/completions", guarded(::complete))
        routes.post("/v1/cancel", guarded(::cancel))
        routes.get(
            "/v1/load",
            guarded {
                it.answer(200, WireJson.of(loads.report(faults.loadLagMillis)))
            },
        )
        routes.get("/v1/cache-events", guarded { it.answer(200, cacheEvents.since(it.context.queryParam("since")?.toLongOrNull() ?: 0)) })
        routes.post("/v1/orders", guarded(orders::handle))
        routes.post("/v1/kv/export", guarded { kvEndpoint.export(it, url) })
        routes.post("/v1/kv/import", guarded(kvEndpoint::import))
        routes.get("/v1/kv/blobs/{name}", guarded(kvEndpoint::blob))
        routes.get("/healthz", guarded { it.context.status(200) })
    }

    private fun guarded(handler: (Exchange) -> Unit): (Context) -> Unit =
        { context ->
            val exchange = Exchange(context, server)
            if (!exchange.isSilenced) handler(exchange)
            if (exchange.isSilenced) exchange.hang()
        }

    private fun complete(exchange: Exchange) {
        val context = exchange.context
        val request = CompletionRequest.parse(context.path(), context.header("X-Request-Id"), exchange.body())
        if (request == null) {
            context.status(400)
            return
        }
        val current = capacity
        val admission = current.admit()
        if (admission == Admission.OVERLOADED) return refuse(exchange, request, current, 503)
        val fault = faults.versions.match(version, request.path, current.inFlight)
        fault?.failureStatus?.let {
            current.release(false)
            return refuse(exchange, request, current, it)
        }
        val job = EngineJob(request, version, fault?.slowFactor ?: 1.0, clock.now(), arrivals.incrementAndGet(), current)
        records.arrived(arrival(request, current, null))
        checkResume(job)
        scheduler.submit(job)
        if (admission == Admission.FATAL) {
            die(CrashCause.COLD_OVERLOAD)
            return exchange.drop()
        }
        if (!CompletionWriter(exchange, job, disturbance(request)).write()) scheduler.end(job, EngineOutcome.DISCONNECTED)
        lastForeignId = request.id
    }

    private fun checkResume(job: EngineJob) {
        val expected = job.resumed.indices.map { TokenText.token(job.textKey, it) }
        if (job.resumed != expected) records.mismatchedResume()
    }

    private fun refuse(
        exchange: Exchange,
        request: CompletionRequest,
        current: UpstreamCapacity,
        status: Int,
    ) {
        records.arrived(arrival(request, current, status))
        if (status == 503) exchange.context.header("Retry-After", "1")
        exchange.context.status(status)
    }

    private fun arrival(
        request: CompletionRequest,
        current: UpstreamCapacity,
        status: Int?,
    ) = EngineArrival(
        requestId = request.id,
        version = version,
        path = request.path,
        at = clock.now(),
        inFlight = current.inFlight,
        cold = current.isCold,
        leaving = leaving,
        status = status,
    )

    private fun disturbance(request: CompletionRequest): StreamDisturbance {
        val otherId = lastForeignId.takeIf { it != request.id } ?: "${request.id}-other"
        return StreamDisturbance(
            atToken = minOf(faults.disturbAtToken, request.maxTokens - 1),
            silence = faults.takeSilence(),
            swap = faults.takeSwap(),
            late = request.stream && faults.takeLateChunk(),
            onSilence = records::silenced,
        ) { index ->
            records.foreignChunk()
            ForeignChunk(otherId, TokenText.token(otherId, request.seed, index))
        }
    }

    private fun cancel(exchange: Exchange) {
        val id = exchange.body().text("request_id")
        if (id == null || !scheduler.end(id, EngineOutcome.CANCELLED)) {
            exchange.context.status(404)
            return
        }
        records.cancelled()
        exchange.answer(200, buildJsonObject { put("cancelled", id) })
    }

    private fun execute(order: EngineOrder) {
        val loaded = order.version ?: return
        version = loaded
        if (config.coldAfterOrder) setCold(true)
    }

    private fun started(job: EngineJob) {
        val marker = faults.crashMarker ?: return
        if (job.request.prompt.contains(marker)) die(CrashCause.MARKER)
    }

    @Synchronized
    private fun die(cause: CrashCause) {
        if (!server.markDown()) return
        scheduler.endAll { records.crashed(EngineCrash(cause, clock.now(), it)) }
        server.abort()
        cache.clear()
        kv.clear()
        val delay = faults.restartAfterMillis
        if (delay != null && cause != CrashCause.RECLAIM) timer.after(delay) { restart() }
    }

    private fun measure(at: Instant): LoadReport {
        val current = capacity
        return LoadReport(scheduler.running, scheduler.waiting, current.limit, current.isCold, leaving, at.toString())
    }

    private fun newCapacity(cold: Boolean) =
        UpstreamCapacity(config.concurrency, config.maxWaiting, config.coldConcurrency, config.warmAfterCompletions, cold)

    private fun JsonObject.text(name: String): String? = (this[name] as? JsonPrimitive)?.contentOrNull
}
