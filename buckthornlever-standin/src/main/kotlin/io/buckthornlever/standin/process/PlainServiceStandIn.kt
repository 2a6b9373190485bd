package io.buckthornlever.standin.process

import io.buckthornlever.api.connection.LoadReport
import io.buckthornlever.api.process.Clock
import io.buckthornlever.standin.connection.Exchange
import io.buckthornlever.standin.connection.StandInServer
import io.buckthornlever.standin.connection.WireJson
import io.buckthornlever.standin.request.PlainExecution
import io.buckthornlever.standin.version.VersionFault
import io.javalin.config.RoutesConfig
import io.javalin.http.Context
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import java.time.Duration
import java.time.Instant

/**
 * Stand-in for a plain service: executes requests with any path and counts the executions.
 *
 * @property config properties of the service
 */
public class PlainServiceStandIn(
    public val config: PlainServiceConfig = PlainServiceConfig(),
    private val clock: Clock = SystemTime,
) : AutoCloseable {
    /** Switches for faults. */
    public val faults: PlainServiceFaults = PlainServiceFaults()

    /** Requests that arrived and were executed. */
    public val records: PlainServiceRecords = PlainServiceRecords()

    /** Label of the version that the service runs. */
    @Volatile
    public var version: String = config.version

    /** True once the service has announced that it leaves. */
    @Volatile
    public var leaving: Boolean = false

    @Volatile
    private var capacity = newCapacity(config.cold)
    private val loads = LoadSnapshots(clock, ::measure)
    private val server = StandInServer(config.maxThreads, ::register)
    private val timer = StandInTimer()

    /** Base URL without a trailing slash; valid after [start] and the same after a restart. */
    public val url: String
        get() = server.url

    /** True while the service accepts connections. */
    public val isUp: Boolean
        get() = server.isOpen

    /** True while the service bears only [PlainServiceConfig.coldConcurrency] requests at once. */
    public val isCold: Boolean
        get() = capacity.isCold

    /** Largest number of requests in flight since the last start. */
    public val maxInFlight: Int
        get() = capacity.maxInFlight

    /** Largest number of requests in flight while cold since the last start. */
    public val maxInFlightCold: Int
        get() = capacity.maxInFlightCold

    /** Starts to listen. */
    public fun start(): PlainServiceStandIn {
        server.start()
        return this
    }

    override fun close() {
        timer.close()
        server.close()
    }

    /** Closes all connections at once, as a process death does; restarts if the faults say so. */
    @Synchronized
    public fun crash() {
        if (!server.markDown()) return
        records.crashed()
        server.abort()
        faults.restartAfterMillis?.let { timer.after(it) { restart() } }
    }

    /** Starts again on the same port after a crash, cold unless [cold] is false. */
    @Synchronized
    public fun restart(cold: Boolean = true) {
        capacity = newCapacity(cold)
        leaving = false
        loads.clear()
        server.start()
    }

    /** Makes the running service cold or warm. */
    public fun setCold(cold: Boolean): Unit = if (cold) capacity.turnCold() else capacity.turnWarm()

    /** Announces the end in load reports and stops abruptly after [notice]. */
    public fun reclaim(notice: Duration) {
        leaving = true
        timer.after(notice.toMillis()) { server.abort() }
    }

    /** No byte is delivered any more on connections that are open now; new ones work. */
    public fun silenceOpenConnections(): Unit = server.silenceOpenConnections()

    private fun register(routes: RoutesConfig) {
        routes.get("/v1/load") { context ->
            val exchange = Exchange(context, server)
            if (exchange.isSilenced) return@get exchange.hang()
            exchange.answer(200, WireJson.of(loads.report(faults.loadLagMillis)))
        }
        routes.get("/healthz") { context ->
            val exchange = Exchange(context, server)
            if (exchange.isSilenced) exchange.hang()
        }
        listOf("/", "/<path>").forEach { path ->
            routes.get(path, ::serve)
            routes.post(path, ::serve)
            routes.put(path, ::serve)
            routes.patch(path, ::serve)
            routes.delete(path, ::serve)
        }
    }

    private fun serve(context: Context) {
        val exchange = Exchange(context, server)
        if (exchange.isSilenced) return exchange.hang()
        records.received()
        val body = context.req().inputStream.readBytes()
        val current = capacity
        when (current.admit()) {
            Admission.OVERLOADED -> return refuse(context)
            Admission.FATAL -> {
                crash()
                return exchange.drop()
            }
            Admission.ADMITTED -> Unit
        }
        var completed = false
        try {
            completed = execute(exchange, body, current.inFlight)
        } finally {
            current.release(completed)
        }
        if (exchange.isSilenced) {
            records.lost()
            exchange.hang()
        }
    }

    private fun refuse(context: Context) {
        records.refused()
        context.status(503).header("Retry-After", "1")
    }

    private fun execute(
        exchange: Exchange,
        body: ByteArray,
        inFlight: Int,
    ): Boolean {
        val context = exchange.context
        val fault = faults.versions.match(version, context.path(), inFlight)
        if (faults.takeFailureBefore()) return fail(context, FAILURE_STATUS)
        val marker = faults.crashMarker
        val execution = record(context)
        if (marker != null && body.decodeToString().contains(marker)) {
            crash()
            return false
        }
        work(fault)
        fault?.failureStatus?.let { return fail(context, it) }
        if (faults.takeFailureAfter()) return fail(context, FAILURE_STATUS)
        if (faults.takeSilence()) exchange.silence()
        if (exchange.isSilenced) return true
        if (faults.takeLostResponse()) {
            records.lost()
            exchange.drop()
        } else {
            answer(exchange, execution)
        }
        return true
    }

    private fun work(fault: VersionFault?) {
        val millis = (maxOf(faults.delayMillis, if (fault == null) 0 else 1) * (fault?.slowFactor ?: 1.0)).toLong()
        if (millis > 0) Thread.sleep(millis)
    }

    private fun record(context: Context): PlainExecution {
        val execution =
            PlainExecution(
                method = context.method().name,
                path = context.path(),
                key = context.header("X-Standin-Key"),
                requestId = context.header("X-Request-Id"),
                version = version,
                at = clock.now(),
                leaving = leaving,
            )
        records.executed(execution)
        return execution
    }

    private fun answer(
        exchange: Exchange,
        execution: PlainExecution,
    ) {
        execution.requestId?.let { exchange.context.header("X-Request-Id", it) }
        val body =
            buildJsonObject {
                put("method", execution.method)
                put("path", execution.path)
                put("key", execution.key)
                put("version", execution.version)
            }
        exchange.answer(200, body)
    }

    private fun fail(
        context: Context,
        status: Int,
    ): Boolean {
        records.failed()
        context.status(status)
        return false
    }

    private fun measure(at: Instant): LoadReport {
        val current = capacity
        return LoadReport(current.inFlight, 0, current.limit, current.isCold, leaving, at.toString())
    }

    private fun newCapacity(cold: Boolean) =
        UpstreamCapacity(config.concurrency, 0, config.coldConcurrency, config.warmAfterCompletions, cold)

    private companion object {
        const val FAILURE_STATUS = 500
    }
}
