package io.buckthornlever.daemon.request

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.mapBoth
import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.Route
import io.buckthornlever.api.process.ServiceKind
import io.buckthornlever.api.request.ErrorCode
import io.buckthornlever.api.request.ExecutionStatus
import io.buckthornlever.api.request.RequestError
import io.buckthornlever.api.request.WorkClass
import io.buckthornlever.core.process.Fingerprint
import io.buckthornlever.core.request.BasicRouteLookup
import io.buckthornlever.daemon.process.ConfigurationHolder
import io.buckthornlever.daemon.process.DaemonMetrics
import io.buckthornlever.daemon.process.LogEvent
import io.buckthornlever.gateway.process.EventLog
import java.io.IOException
import java.time.Duration
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.random.RandomGenerator

/** Handles a request from start to end: authentication, route lookup, body, admission, relay. */
internal class RequestPipeline(
    private val configuration: ConfigurationHolder,
    private val gate: AdmissionGate,
    private val models: ModelRelay,
    private val plain: PlainRelay,
    private val clock: Clock,
    private val random: RandomGenerator,
    private val metrics: DaemonMetrics,
    private val log: EventLog,
) {
    private val openCount = AtomicInteger()

    /** True while the instance shuts down; new requests are then refused. */
    @Volatile
    var refusesNewRequests: Boolean = false

    /** Number of requests being handled. */
    val openRequests: Int get() = openCount.get()

    /** Handles one request until its response is complete. */
    fun handle(exchange: CallerExchange) {
        val start = clock.monotonicNanos()
        openCount.incrementAndGet()
        metrics.open.inc()
        var routeName = NO_ROUTE
        val outcome =
            try {
                prepare(exchange, start).mapBoth(
                    success = {
                        routeName = it.scope.route.name.value
                        relayIfAdmitted(it)
                    },
                    failure = { refuse(exchange, it) },
                )
            } catch (e: IOException) {
                "caller-gone"
            } catch (e: RuntimeException) {
                log.writeFailure(LogEvent.INTERNAL_ERROR, e, "request" to exchange.id)
                if (!exchange.responseStarted) {
                    refuse(
                        exchange,
                        RequestError(ErrorCode.INTERNAL, ExecutionStatus.UNKNOWN, "unexpected error"),
                    )
                }
                ErrorCode.INTERNAL.wireName
            } finally {
                metrics.open.dec()
                openCount.decrementAndGet()
            }
        metrics.requests.labelValues(routeName, outcome).inc()
        metrics.requestSeconds.labelValues(routeName).observe((clock.monotonicNanos() - start) / NANOS_PER_SECOND)
    }

    private fun prepare(
        exchange: CallerExchange,
        start: Long,
    ): Result<PreparedRequest, RequestError> {
        if (refusesNewRequests) {
            return Err(RequestError(ErrorCode.SHUTTING_DOWN, ExecutionStatus.NOT_RUN, "the instance is shutting down", RETRY_AFTER))
        }
        val current = configuration.get()
        val account =
            Authenticator.accountOf(exchange.header("Authorization"), current.accounts)
                ?: return Err(RequestError(ErrorCode.UNAUTHENTICATED, ExecutionStatus.NOT_RUN, "the API key is missing or unknown"))
        val candidates = BasicRouteLookup.candidates(current.routes, exchange.method, exchange.path)
        if (candidates.isEmpty()) return Err(noRoute(current, exchange))
        return exchange.readBody(candidates.maxOf { it.maxBodyBytes }).andThen { bytes ->
            selectRoute(candidates, exchange, bytes).andThen { (route, body) ->
                val scope = RequestScope(exchange, account, route, current, start + TimeUnit.MILLISECONDS.toNanos(route.timeoutMillis))
                validate(scope, bytes).andThen { Ok(PreparedRequest(scope, bytes, body)) }
            }
        }
    }

    private fun selectRoute(
        candidates: List<Route>,
        exchange: CallerExchange,
        bytes: ByteArray,
    ): Result<Pair<Route, ModelBody?>, RequestError> {
        if (candidates.first().kind == ServiceKind.PLAIN) return Ok(candidates.first() to null)
        val type = exchange.header("Content-Type").orEmpty()
        if (!type.startsWith("application/json")) {
            return Err(RequestError(ErrorCode.UNSUPPORTED_MEDIA_TYPE, ExecutionStatus.NOT_RUN, "the content type must be application/json"))
        }
        return ModelBody.parse(bytes, random::nextLong).andThen { body ->
            val route = BasicRouteLookup.forModel(candidates, body.model)
            if (route == null) {
                Err(RequestError(ErrorCode.NO_ROUTE, ExecutionStatus.NOT_RUN, "no route for this model"))
            } else {
                Ok(route to body)
            }
        }
    }

    private fun validate(
        scope: RequestScope,
        bytes: ByteArray,
    ): Result<Unit, RequestError> {
        if (bytes.size > scope.route.maxBodyBytes) {
            return Err(
                RequestError(
                    ErrorCode.BODY_TOO_LARGE,
                    ExecutionStatus.NOT_RUN,
                    "the body is larger than ${scope.route.maxBodyBytes} bytes",
                ),
            )
        }
        if (scope.route.workClass == WorkClass.NON_REPEATABLE && scope.exchange.header(IDEMPOTENCY_KEY).isNullOrBlank()) {
            return Err(RequestError(ErrorCode.BAD_REQUEST, ExecutionStatus.NOT_RUN, "this route requires the header Idempotency-Key"))
        }
        return Ok(Unit)
    }

    private fun relayIfAdmitted(request: PreparedRequest): String {
        val scope = request.scope
        val permit =
            gate.tryAcquire(scope.account, scope.route.workClass)
                ?: return refuse(
                    scope.exchange,
                    RequestError(ErrorCode.OVERLOADED, ExecutionStatus.NOT_RUN, "too many requests at once", RETRY_AFTER),
                )
        return permit.use {
            if (request.body == null) {
                plain.relay(scope, request.bytes)
            } else {
                relayModel(scope, request.body, request.bytes)
            }
        }
    }

    private fun relayModel(
        scope: RequestScope,
        body: ModelBody,
        bytes: ByteArray,
    ): String {
        val exchange = scope.exchange
        val call =
            ModelCall(
                id = exchange.id,
                path = exchange.path,
                route = scope.route,
                fingerprint = Fingerprint.of(exchange.method, exchange.path, bytes),
                deadlineNanos = scope.deadlineNanos,
                configuration = configuration::get,
            )
        return models.relay(call, body, if (body.stream) SseSink(exchange) else BufferedResponseSink(exchange, body))
    }

    private fun noRoute(
        current: Configuration,
        exchange: CallerExchange,
    ): RequestError {
        val otherMethod = current.routes.routes.any {
            BasicRouteLookup.candidates(
                current.routes.copy(routes = listOf(it.copy(match = it.match.copy(methods = emptyList())))),
                exchange.method,
                exchange.path,
            ).isNotEmpty()
        }
        if (otherMethod) {
            return RequestError(
                ErrorCode.METHOD_NOT_ALLOWED,
                ExecutionStatus.NOT_RUN,
                "no route takes ${exchange.method} on this path",
            )
        }
        return RequestError(ErrorCode.NO_ROUTE, ExecutionStatus.NOT_RUN, "no route takes this path")
    }

    private fun refuse(
        exchange: CallerExchange,
        error: RequestError,
    ): String {
        ProblemWriter.write(exchange, error)
        return error.code.wireName
    }

    private class PreparedRequest(
        val scope: RequestScope,
        val bytes: ByteArray,
        val body: ModelBody?,
    )

    companion object {
        const val IDEMPOTENCY_KEY: String = "Idempotency-Key"
        private const val NO_ROUTE = "none"
        private const val NANOS_PER_SECOND = 1e9
        private val RETRY_AFTER: Duration = Duration.ofSeconds(1)
    }
}
