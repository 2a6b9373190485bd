package io.buckthornlever.daemon.request

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
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
import io.buckthornlever.api.request.RequestId
import io.buckthornlever.core.request.CandidateSelector
import io.buckthornlever.core.request.SelectionQuery
import io.buckthornlever.daemon.process.EventLog
import io.buckthornlever.daemon.process.LogEvent
import java.io.IOException
import java.net.SocketTimeoutException
import java.time.Duration
import java.util.concurrent.TimeUnit

/** Relays a completion; when an upstream fails, another one continues after the tokens already received. */
internal class ModelRelay(
    private val selector: CandidateSelector,
    private val attempts: AttemptRunner,
    private val clock: Clock,
    private val log: EventLog,
) {
    /** Answers the request; the returned code is the outcome for metrics. */
    fun relay(
        scope: RequestScope,
        body: ModelBody,
    ): String {
        val sink = if (body.stream) SseSink(scope.exchange) else WholeAnswerSink(scope.exchange, body)
        val tokens = ArrayList<String>()
        val excluded = LinkedHashSet<UpstreamId>()
        var sent = false
        repeat(MAX_ATTEMPTS) { number ->
            if (remainingMillis(scope) <= 0) return end(sink, deadlineError(sent))
            val upstream = select(scope, body, excluded) ?: return end(sink, noUpstream(sent))
            if (tokens.isNotEmpty()) log.write(LogEvent.STREAM_RESUMED, "request" to scope.exchange.id, "upstream" to upstream.id)
            when (val outcome = attempt(scope, body, upstream, number, tokens, sink)) {
                AttemptOutcome.Complete -> {
                    sink.complete()
                    return "ok"
                }
                is AttemptOutcome.Rejected -> return end(sink, outcome.error)
                is AttemptOutcome.Failed -> sent = sent || outcome.mayHaveRun
            }
            excluded += upstream.id
        }
        return end(sink, RequestError(ErrorCode.UPSTREAM_FAILED, executed(sent), "every upstream that was tried failed"))
    }

    // A silent connection or a foreign chunk says little about the upstream, so one that failed may be tried again when no other is left.
    private fun select(
        scope: RequestScope,
        body: ModelBody,
        excluded: Set<UpstreamId>,
    ): UpstreamSpec? {
        val query = SelectionQuery(scope.route, scope.configuration.pools, body.prompt, excluded)
        return selector.select(query) ?: selector.select(query.copy(excluded = emptySet())).takeIf { excluded.isNotEmpty() }
    }

    private fun attempt(
        scope: RequestScope,
        body: ModelBody,
        upstream: UpstreamSpec,
        number: Int,
        tokens: MutableList<String>,
        sink: ModelSink,
    ): AttemptOutcome {
        val id = RequestIds.attempt(scope.exchange.id, number)
        val request =
            UpstreamRequest(
                id = id,
                method = "POST",
                path = scope.exchange.path,
                headers = listOf(Header("Content-Type", "application/json"), Header("Accept", "text/event-stream")),
                body = body.attempt(id, scope.route.workClass, tokens),
                timeoutMillis = remainingMillis(scope),
                progressTimeoutMillis = scope.route.progressTimeoutMillis,
            )
        return attempts.run(upstream, request) { result ->
            result.mapBoth(
                success = { response -> response.use { read(it, upstream, id, tokens, sink) } },
                failure = { AttemptOutcome.Failed(mayHaveRun = it !is UpstreamError.NotSent) },
            )
        }
    }

    private fun read(
        response: UpstreamResponse,
        upstream: UpstreamSpec,
        id: RequestId,
        tokens: MutableList<String>,
        sink: ModelSink,
    ): AttemptOutcome {
        if (response.status in REFUSALS) return AttemptOutcome.Failed(mayHaveRun = false)
        if (response.status in CALLER_ERRORS) return AttemptOutcome.Rejected(rejected(response))
        val error =
            if (response.status != 200) {
                UpstreamError.Refused(response.status, null)
            } else {
                readChunks(response, id, tokens, sink).mapBoth(success = { return AttemptOutcome.Complete }, failure = { it })
            }
        attempts.failed(upstream, error)
        return AttemptOutcome.Failed(mayHaveRun = true)
    }

    private fun readChunks(
        response: UpstreamResponse,
        id: RequestId,
        tokens: MutableList<String>,
        sink: ModelSink,
    ): Result<Unit, UpstreamError> {
        val lines = response.body.bufferedReader()
        while (true) {
            val line =
                try {
                    lines.readLine()
                } catch (e: SocketTimeoutException) {
                    return Err(UpstreamError.Silent(Duration.ZERO))
                } catch (e: IOException) {
                    return Err(UpstreamError.Broken(e.message ?: e.javaClass.simpleName))
                } ?: return Err(UpstreamError.Broken("stream ended without [DONE]"))
            if (!line.startsWith(DATA)) continue
            val data = line.substring(DATA.length)
            if (data == DONE) return Ok(Unit)
            val chunk = ModelChunk.parse(data) ?: return Err(UpstreamError.Malformed("chunk is not JSON"))
            if (chunk.id != id.value) {
                log.write(LogEvent.FOREIGN_CHUNK, "expected" to id, "found" to chunk.id)
                return Err(UpstreamError.Malformed("chunk of another request"))
            }
            accept(chunk, tokens, sink)?.let { return Err(it) }
        }
    }

    private fun accept(
        chunk: ModelChunk,
        tokens: MutableList<String>,
        sink: ModelSink,
    ): UpstreamError? {
        val index = chunk.tokenIndex
        if (index != null) {
            if (index < tokens.size) return null
            if (index > tokens.size) return UpstreamError.Malformed("token $index arrived where ${tokens.size} was expected")
            tokens += chunk.text
        }
        sink.chunk(chunk)
        return null
    }

    private fun rejected(response: UpstreamResponse): RequestError =
        RequestError(ErrorCode.BAD_REQUEST, Executed.NOT_RUN, "the model engine rejected the request with status ${response.status}")

    private fun remainingMillis(scope: RequestScope): Long = TimeUnit.NANOSECONDS.toMillis(scope.deadlineNanos - clock.monotonicNanos())

    private fun end(
        sink: ModelSink,
        error: RequestError,
    ): String {
        sink.fail(error)
        return error.code.wireName
    }

    private fun deadlineError(sent: Boolean): RequestError =
        RequestError(ErrorCode.DEADLINE_EXCEEDED, executed(sent), "the route's time limit is over")

    private fun noUpstream(sent: Boolean): RequestError =
        RequestError(ErrorCode.NO_UPSTREAM, executed(sent), "no upstream can take the request now", RETRY_AFTER)

    private fun executed(sent: Boolean): Executed = if (sent) Executed.UNKNOWN else Executed.NOT_RUN

    private sealed interface AttemptOutcome {
        data object Complete : AttemptOutcome

        class Rejected(
            val error: RequestError,
        ) : AttemptOutcome

        class Failed(
            val mayHaveRun: Boolean,
        ) : AttemptOutcome
    }

    private companion object {
        const val MAX_ATTEMPTS = 4
        const val DATA = "data: "
        const val DONE = "[DONE]"
        val REFUSALS = setOf(429, 503)
        val CALLER_ERRORS = 400..499
        val RETRY_AFTER: Duration = Duration.ofSeconds(1)
    }
}
