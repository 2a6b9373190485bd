package io.buckthornlever.daemon.request

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapBoth
import io.buckthornlever.api.connection.Header
import io.buckthornlever.api.connection.UpstreamError
import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.connection.UpstreamRequest
import io.buckthornlever.api.connection.UpstreamResponse
import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.api.request.ErrorCode
import io.buckthornlever.api.request.Executed
import io.buckthornlever.api.request.RequestError
import io.buckthornlever.api.request.WorkClass
import io.buckthornlever.core.request.CandidateSelector
import io.buckthornlever.core.request.SelectionQuery
import java.io.IOException
import java.net.SocketTimeoutException
import java.time.Duration
import java.util.concurrent.TimeUnit

/** Relays calls to plain services; repeats one only when it is idempotent or certainly has not run. */
internal class PlainRelay(
    private val selector: CandidateSelector,
    private val attempts: AttemptRunner,
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
        val excluded = LinkedHashSet<UpstreamId>()
        var mayHaveRun = false
        repeat(MAX_ATTEMPTS) { number ->
            val remaining = TimeUnit.NANOSECONDS.toMillis(scope.deadlineNanos - clock.monotonicNanos())
            if (remaining <=
                0
            ) {
                return Err(RequestError(ErrorCode.DEADLINE_EXCEEDED, executed(mayHaveRun), "the route's time limit is over"))
            }
            val upstream =
                select(scope, excluded) ?: return Err(noUpstream(mayHaveRun))
            val error = attempt(scope, body, upstream, number, remaining).mapBoth(success = { return Ok(it) }, failure = { it })
            mayHaveRun = mayHaveRun || error !is UpstreamError.NotSent
            if (mayHaveRun && !scope.route.workClass.idempotent) {
                return Err(RequestError(ErrorCode.OUTCOME_UNKNOWN, Executed.UNKNOWN, "the upstream did not answer; the call may have run"))
            }
            excluded += upstream.id
        }
        return Err(RequestError(ErrorCode.UPSTREAM_FAILED, executed(mayHaveRun), "every upstream that was tried failed"))
    }

    // One that failed may be tried again when no other is left: a silent connection says little about the upstream.
    private fun select(
        scope: RequestScope,
        excluded: Set<UpstreamId>,
    ): UpstreamSpec? {
        val query = SelectionQuery(scope.route, scope.configuration.pools, excluded = excluded)
        return selector.select(query) ?: selector.select(query.copy(excluded = emptySet())).takeIf { excluded.isNotEmpty() }
    }

    private fun attempt(
        scope: RequestScope,
        body: ByteArray,
        upstream: UpstreamSpec,
        number: Int,
        remainingMillis: Long,
    ): Result<WholeResponse, UpstreamError> {
        val request =
            UpstreamRequest(
                id = RequestIds.attempt(scope.exchange.id, number),
                method = scope.exchange.method,
                path = scope.exchange.pathWithQuery,
                headers = scope.exchange.forwardedHeaders(),
                body = body,
                timeoutMillis = remainingMillis,
                progressTimeoutMillis = scope.route.progressTimeoutMillis,
            )
        return attempts.run(upstream, request) { result ->
            result.andThen { response ->
                response.use { readWhole(it, upstream, request) }
            }
        }
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

    private fun executed(mayHaveRun: Boolean): Executed = if (mayHaveRun) Executed.UNKNOWN else Executed.NOT_RUN

    private fun noUpstream(mayHaveRun: Boolean): RequestError =
        RequestError(ErrorCode.NO_UPSTREAM, executed(mayHaveRun), "no upstream can take the request now", RETRY_AFTER)

    /** An upstream's answer, read to its end. */
    internal class WholeResponse(
        val status: Int,
        val headers: List<Header>,
        val body: ByteArray,
    )

    private companion object {
        const val MAX_ATTEMPTS = 3
        val RETRY_AFTER: Duration = Duration.ofSeconds(1)
        val NOT_RETURNED = setOf("connection", "content-length", "date", "keep-alive", "server", "transfer-encoding", "x-request-id")
    }
}
