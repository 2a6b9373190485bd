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

/** Relays calls to plain services; repeats one only when it is idempotent or certainly has not run. */
internal class PlainRelay(
    private val access: UpstreamAccess,
    private val attempts: AttemptRunner,
    private val budgets: RetryBudgets,
    private val clock: Clock,
    private val once: OnceRunner,
) {
    /** Answers the request; the returned code is the outcome for metrics. */
    fun relay(
        scope: RequestScope,
        body: ByteArray,
    ): String =
        (if (scope.route.workClass == WorkClass.NON_REPEATABLE) callOnce(scope, body) else call(scope, body)).mapBoth(
            success = {
                scope.exchange.answer(it.status, it.headers, it.body)
                "ok"
            },
            failure = {
                ProblemWriter.write(scope.exchange, it)
                it.code.wireName
            },
        )

    private fun callOnce(
        scope: RequestScope,
        body: ByteArray,
    ): Result<WholeResponse, RequestError> {
        val key = scope.exchange.header(RequestPipeline.IDEMPOTENCY_KEY).orEmpty()
        return once
            .run(scope, key, body) {
                call(scope, body).map { OnceAnswer(it.status, contentType(it), it.headers, it.body, replayed = false) }
            }.map { WholeResponse(it.status, if (it.replayed) replayHeaders(it) else it.headers, it.body) }
    }

    private fun contentType(response: WholeResponse): String? =
        response.headers.firstOrNull { it.name.equals("Content-Type", ignoreCase = true) }?.value

    private fun replayHeaders(answer: OnceAnswer): List<Header> =
        listOfNotNull(answer.contentType?.let { Header("Content-Type", it) }, Header("Idempotency-Replayed", "true"))

    private fun call(
        scope: RequestScope,
        body: ByteArray,
    ): Result<WholeResponse, RequestError> {
        budgets.onRequest(scope.route)
        val fingerprint = Fingerprint.of(scope.exchange.method, scope.exchange.pathWithQuery, body)
        var state = RetryState(scope.route.workClass, scope.deadlineNanos)
        var order = RetryCommand.Dispatch(emptySet(), emptySet(), 0)
        while (true) {
            if (order.delayNanos > 0) LockSupport.parkNanos(order.delayNanos)
            val id = RequestIds.attempt(scope.exchange.id, state.attempts)
            val upstream =
                when (val choice = choose(scope, fingerprint, id, order, state.maybeExecuted)) {
                    is UpstreamAccess.Choice.Use -> choice.upstream
                    is UpstreamAccess.Choice.Refuse -> return Err(choice.error)
                    is UpstreamAccess.Choice.None -> return Err(noUpstream(state.maybeExecuted))
                }
            state = budgets.step(scope.route, state, RetryEvent.Started(upstream.id)).state
            val error = attempt(scope, body, upstream, id, fingerprint).mapBoth(success = { return Ok(it) }, failure = { it })
            val step = budgets.step(scope.route, state, RetryEvent.Failed(upstream.id, upstream.failureDomain, error))
            state = step.state
            when (val command = step.commands.first()) {
                is RetryCommand.Dispatch -> order = command
                is RetryCommand.Fail -> return Err(command.error)
                is RetryCommand.Cancel -> error("only one attempt runs at a time")
            }
        }
    }

    private fun choose(
        scope: RequestScope,
        fingerprint: Fingerprint,
        id: RequestId,
        order: RetryCommand.Dispatch,
        maybeExecuted: Boolean,
    ): UpstreamAccess.Choice {
        val pools = scope.configuration.pools
        val avoided = order.exclude + UpstreamAccess.inDomains(scope.route, pools, order.avoidDomains)
        val query = SelectionQuery(scope.route, pools, excluded = order.exclude)
        if (avoided.size == order.exclude.size) return access.choose(query, fingerprint, id, maybeExecuted)
        val elsewhere = access.choose(query.copy(excluded = avoided), fingerprint, id, maybeExecuted)
        return if (elsewhere is UpstreamAccess.Choice.None) access.choose(query, fingerprint, id, maybeExecuted) else elsewhere
    }

    private fun attempt(
        scope: RequestScope,
        body: ByteArray,
        upstream: UpstreamSpec,
        id: RequestId,
        fingerprint: Fingerprint,
    ): Result<WholeResponse, UpstreamError> {
        val request =
            UpstreamRequest(
                id = id,
                method = scope.exchange.method,
                path = scope.exchange.pathWithQuery,
                headers = scope.exchange.forwardedHeaders(),
                body = body,
                timeoutMillis = maxOf(1, TimeUnit.NANOSECONDS.toMillis(scope.deadlineNanos - clock.monotonicNanos())),
                progressTimeoutMillis = scope.route.progressTimeoutMillis,
            )
        val result =
            attempts.run(upstream, request) { result ->
                result.andThen { response ->
                    response.use { readWhole(it, upstream, request) }
                }
            }
        result.onFailure {
            if (it is UpstreamError.NotSent) access.unreachable(upstream)
            if (it is UpstreamError.Broken) access.broke(fingerprint, upstream)
        }
        access.release(fingerprint, id)
        return result
    }

    private fun readWhole(
        response: UpstreamResponse,
        upstream: UpstreamSpec,
        request: UpstreamRequest,
    ): Result<WholeResponse, UpstreamError> {
        val echoed = response.headers.firstOrNull { it.name.equals(CallerExchange.REQUEST_ID_HEADER, ignoreCase = true) }?.value
        val error =
            if (echoed != null && echoed != request.id.value) {
                UpstreamError.Malformed("answer to another request")
            } else {
                try {
                    val bytes = response.body.readAllBytes()
                    return Ok(WholeResponse(response.status, response.headers.filter { it.name.lowercase() !in NOT_RETURNED }, bytes))
                } catch (e: SocketTimeoutException) {
                    UpstreamError.Silent(Duration.ofMillis(request.progressTimeoutMillis))
                } catch (e: IOException) {
                    UpstreamError.Broken(e.message ?: e.javaClass.simpleName)
                }
            }
        attempts.failed(upstream, error)
        return Err(error)
    }

    private fun executed(mayHaveRun: Boolean): ExecutionStatus = if (mayHaveRun) ExecutionStatus.UNKNOWN else ExecutionStatus.NOT_RUN

    private fun noUpstream(mayHaveRun: Boolean): RequestError =
        RequestError(ErrorCode.NO_UPSTREAM, executed(mayHaveRun), "no upstream can take the request now", UpstreamAccess.RETRY_AFTER)

    /** An upstream's answer, read to its end. */
    internal class WholeResponse(
        val status: Int,
        val headers: List<Header>,
        val body: ByteArray,
    )

    private companion object {
        val NOT_RETURNED = setOf("connection", "content-length", "date", "keep-alive", "server", "transfer-encoding", "x-request-id")
    }
}
