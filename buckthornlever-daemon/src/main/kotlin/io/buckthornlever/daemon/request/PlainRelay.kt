package io.buckthornlever.daemon.request

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapBoth
import com.github.michaelbull.result.onFailure
import io.buckthornlever.api.connection.Header
import io.buckthornlever.api.connection.UpstreamError
import io.buckthornlever.api.connection.UpstreamRequest
import io.buckthornlever.api.connection.UpstreamResponse
import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.api.request.ErrorCode
import io.buckthornlever.api.request.ExecutionStatus
import io.buckthornlever.api.request.RequestError
import io.buckthornlever.api.request.RequestId
import io.buckthornlever.api.request.WorkClass
import io.buckthornlever.core.process.Fingerprint
import io.buckthornlever.core.request.RetryCommand
import io.buckthornlever.core.request.RetryEvent
import io.buckthornlever.core.request.RetryState
import io.buckthornlever.core.request.SelectionQuery
import java.io.IOException
import java.net.SocketTimeoutException
import java.time.Duration
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport

/** Relays calls to plain services; retries a call only when it is idempotent or certainly has not run. */
internal class PlainRelay(
    private val selector: CrashAwareSelector,
    private val attempts: AttemptRunner,
    private val budgets: RetryBudgets,
    private val clock: Clock,
    private val atMostOnce: AtMostOnceRunner,
) {
    /** Responds to the request; returns the outcome label for metrics. */
    fun relay(
        scope: RequestScope,
        body: ByteArray,
    ): String =
        (if (scope.route.workClass == WorkClass.NON_REPEATABLE) callAtMostOnce(scope, body) else call(scope, body)).mapBoth(
            success = {
                scope.exchange.respond(it.status, it.headers, it.body)
                "ok"
            },
            failure = {
                ProblemWriter.write(scope.exchange, it)
                it.code.wireName
            },
        )

    private fun callAtMostOnce(
        scope: RequestScope,
        body: ByteArray,
    ): Result<BufferedResponse, RequestError> {
        val key = scope.exchange.header(RequestPipeline.IDEMPOTENCY_KEY).orEmpty()
        return atMostOnce
            .run(scope, key, body) {
                call(scope, body).map { AtMostOnceResponse(it.status, contentType(it), it.headers, it.body, replayed = false) }
            }.map { BufferedResponse(it.status, if (it.replayed) replayHeaders(it) else it.headers, it.body) }
    }

    private fun contentType(response: BufferedResponse): String? =
        response.headers.firstOrNull { it.name.equals("Content-Type", ignoreCase = true) }?.value

    private fun replayHeaders(response: AtMostOnceResponse): List<Header> =
        listOfNotNull(response.contentType?.let { Header("Content-Type", it) }, Header("Idempotency-Replayed", "true"))

    private fun call(
        scope: RequestScope,
        body: ByteArray,
    ): Result<BufferedResponse, RequestError> {
        budgets.onRequest(scope.route)
        val fingerprint = Fingerprint.of(scope.exchange.method, scope.exchange.pathWithQuery, body)
        var state = RetryState(scope.route.workClass, scope.deadlineNanos)
        var dispatch = RetryCommand.Dispatch(emptySet(), emptySet(), 0)
        while (true) {
            if (dispatch.delayNanos > 0) LockSupport.parkNanos(dispatch.delayNanos)
            val id = RequestIds.attemptId(scope.exchange.id, state.attempts)
            val upstream =
                when (val choice = choose(scope, fingerprint, id, dispatch, state.maybeExecuted)) {
                    is CrashAwareSelector.Choice.Use -> choice.upstream
                    is CrashAwareSelector.Choice.Refuse -> return Err(choice.error)
                    is CrashAwareSelector.Choice.None -> return Err(noUpstream(state.maybeExecuted))
                }
            state = budgets.step(scope.route, state, RetryEvent.Started(upstream.id)).state
            val error = runAttempt(scope, body, upstream, id, fingerprint).mapBoth(success = { return Ok(it) }, failure = { it })
            val step = budgets.step(scope.route, state, RetryEvent.Failed(upstream.id, upstream.failureDomain, error))
            state = step.state
            when (val command = step.commands.first()) {
                is RetryCommand.Dispatch -> dispatch = command
                is RetryCommand.Fail -> return Err(command.error)
                is RetryCommand.Cancel -> error("only one attempt runs at a time")
            }
        }
    }

    private fun choose(
        scope: RequestScope,
        fingerprint: Fingerprint,
        id: RequestId,
        dispatch: RetryCommand.Dispatch,
        maybeExecuted: Boolean,
    ): CrashAwareSelector.Choice {
        val pools = scope.configuration.pools
        val avoided = dispatch.exclude + CrashAwareSelector.inDomains(scope.route, pools, dispatch.avoidDomains)
        val query = SelectionQuery(scope.route, pools, excluded = dispatch.exclude)
        if (avoided.size == dispatch.exclude.size) return selector.choose(query, fingerprint, id, maybeExecuted)
        val elsewhere = selector.choose(query.copy(excluded = avoided), fingerprint, id, maybeExecuted)
        return if (elsewhere is CrashAwareSelector.Choice.None) selector.choose(query, fingerprint, id, maybeExecuted) else elsewhere
    }

    private fun runAttempt(
        scope: RequestScope,
        body: ByteArray,
        upstream: UpstreamSpec,
        id: RequestId,
        fingerprint: Fingerprint,
    ): Result<BufferedResponse, UpstreamError> {
        val request =
            UpstreamRequest(
                id = id,
                method = scope.exchange.method,
                path = scope.exchange.pathWithQuery,
                headers = scope.exchange.forwardedHeaders(),
                body = body,
                timeoutMillis = maxOf(1, TimeUnit.NANOSECONDS.toMillis(scope.deadlineNanos - clock.monotonicNanos())),
                progressTimeoutMillis = scope.route.progressTimeoutMillis,
                mayReuseConnection = scope.route.workClass.idempotent,
            )
        val result =
            attempts.run(upstream, request) { result ->
                result.andThen { response ->
                    response.use { readWhole(it, upstream, request) }
                }
            }
        result.onFailure {
            if (it is UpstreamError.NotSent) selector.onUnreachable(upstream)
            if (it is UpstreamError.Broken) selector.onConnectionBroken(fingerprint, upstream)
        }
        selector.release(fingerprint, id)
        return result
    }

    private fun readWhole(
        response: UpstreamResponse,
        upstream: UpstreamSpec,
        request: UpstreamRequest,
    ): Result<BufferedResponse, UpstreamError> {
        val echoed = response.headers.firstOrNull { it.name.equals(CallerExchange.REQUEST_ID_HEADER, ignoreCase = true) }?.value
        val error =
            if (echoed != null && echoed != request.id.value) {
                UpstreamError.Malformed("response to another request")
            } else {
                try {
                    val bytes = response.body.readNBytes(MAX_BODY_BYTES + 1)
                    if (bytes.size <= MAX_BODY_BYTES) return Ok(BufferedResponse(response.status, returnedHeaders(response), bytes))
                    UpstreamError.Malformed("response body exceeds $MAX_BODY_BYTES bytes")
                } catch (e: SocketTimeoutException) {
                    UpstreamError.Silent(Duration.ofMillis(request.progressTimeoutMillis))
                } catch (e: IOException) {
                    UpstreamError.Broken(e.message ?: e.javaClass.simpleName)
                }
            }
        attempts.recordFailure(upstream, error)
        return Err(error)
    }

    private fun returnedHeaders(response: UpstreamResponse): List<Header> =
        response.headers.filter { it.name.lowercase() !in NOT_RETURNED }

    private fun executed(mayHaveRun: Boolean): ExecutionStatus = if (mayHaveRun) ExecutionStatus.UNKNOWN else ExecutionStatus.NOT_RUN

    private fun noUpstream(mayHaveRun: Boolean): RequestError =
        RequestError(ErrorCode.NO_UPSTREAM, executed(mayHaveRun), "no upstream can take the request now", CrashAwareSelector.RETRY_AFTER)

    /** An upstream's response with its complete body. */
    internal class BufferedResponse(
        val status: Int,
        val headers: List<Header>,
        val body: ByteArray,
    )

    private companion object {
        /** Bodies are buffered until they are complete. */
        const val MAX_BODY_BYTES = 16 * 1_024 * 1_024
        val NOT_RETURNED = setOf("connection", "content-length", "date", "keep-alive", "server", "transfer-encoding", "x-request-id")
    }
}
