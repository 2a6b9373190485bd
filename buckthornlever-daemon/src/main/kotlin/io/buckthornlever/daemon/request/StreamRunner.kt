package io.buckthornlever.daemon.request

import com.github.michaelbull.result.mapBoth
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
import io.buckthornlever.core.request.SelectionQuery
import io.buckthornlever.core.request.StreamCommand
import io.buckthornlever.core.request.StreamEvent
import io.buckthornlever.core.request.StreamLimits
import io.buckthornlever.core.request.StreamMachine
import io.buckthornlever.core.request.StreamState
import io.buckthornlever.daemon.process.LogEvent
import io.buckthornlever.gateway.process.EventLog
import java.io.IOException
import java.net.SocketTimeoutException
import java.time.Duration
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport

/** Runs [StreamMachine] for one completion on the calling thread. */
internal class StreamRunner(
    private val call: ModelCall,
    private val body: ModelBody,
    private val sink: ModelSink,
    private val selector: CrashAwareSelector,
    private val attempts: AttemptRunner,
    private val budgets: RetryBudgets,
    private val clock: Clock,
    private val log: EventLog,
) {
    private var state =
        StreamState(
            RequestIds.attemptId(call.id, 0),
            limits(),
            promptTokens = body.prompt.length / BYTES_PER_TOKEN,
            relayIndex = call.relayIndex,
        )
    private var nextOpen: StreamCommand.Open? = null
    private var outcome: String? = null
    private var chunk: ModelChunk? = null
    private var upstream: UpstreamSpec? = null
    private var mayHaveRun = false

    /** Relays the complete response to the sink; returns the outcome label for metrics. */
    fun run(): String {
        handle(StreamEvent.Begin)
        while (true) {
            outcome?.let { return it }
            if (call.shouldHandOver() && sink.tryHandOver()) return HANDED_OVER
            runAttempt(checkNotNull(nextOpen) { "the stream has neither an outcome nor a next attempt" })
        }
    }

    private fun runAttempt(command: StreamCommand.Open) {
        nextOpen = null
        if (command.delayNanos > 0) LockSupport.parkNanos(command.delayNanos)
        if (!tryWithdrawRetry()) return refuse(ErrorCode.NO_UPSTREAM, "the retry budget of the route is exhausted")
        val query = SelectionQuery(call.route, call.configuration().pools, body.prompt, command.avoidedUpstreams)
        when (val choice = selector.choose(query, call.fingerprint, command.attempt, mayHaveRun, command.preferredUpstream)) {
            is CrashAwareSelector.Choice.Refuse -> handle(StreamEvent.Refused(choice.error))
            is CrashAwareSelector.Choice.None -> onNoCandidate(command)
            is CrashAwareSelector.Choice.Use -> send(command, choice.upstream)
        }
    }

    // Someone waits for interactive requests, so these fail once the retry budget is spent; long work must finish and is exempt.
    private fun tryWithdrawRetry(): Boolean =
        state.attempts <= 1 || state.tokens.isNotEmpty() || call.route.workClass == WorkClass.LONG || budgets.tryWithdraw(call.route)

    private fun onNoCandidate(command: StreamCommand.Open) {
        val mayWait = state.tokens.isNotEmpty() || call.route.workClass == WorkClass.LONG
        if (mayWait) {
            handle(StreamEvent.NoCandidate(command.attempt))
        } else {
            refuse(ErrorCode.NO_UPSTREAM, "no upstream can take the request now")
        }
    }

    private fun refuse(
        code: ErrorCode,
        detail: String,
    ) {
        handle(StreamEvent.Refused(RequestError(code, ExecutionStatus.UNKNOWN, detail, CrashAwareSelector.RETRY_AFTER)))
    }

    private fun send(
        command: StreamCommand.Open,
        target: UpstreamSpec,
    ) {
        if (command.resumeTokens.isNotEmpty()) log.write(LogEvent.STREAM_RESUMED, "request" to call.id, "upstream" to target.id)
        upstream = target
        handle(StreamEvent.Opened(command.attempt, target.id))
        try {
            attempts.run(target, request(command)) { result ->
                result.mapBoth(
                    success = { response -> response.use { read(it, command.attempt, target) } },
                    failure = { onFailure(it, command.attempt, target) },
                )
            }
        } finally {
            selector.release(call.fingerprint, command.attempt)
        }
    }

    private fun request(command: StreamCommand.Open): UpstreamRequest =
        UpstreamRequest(
            id = command.attempt,
            method = "POST",
            path = call.path,
            headers = listOf(Header("Content-Type", "application/json"), Header("Accept", "text/event-stream")),
            body = body.attemptBody(command.attempt, call.route.workClass, command.resumeTokens),
            timeoutMillis = maxOf(1, TimeUnit.NANOSECONDS.toMillis(call.deadlineNanos - clock.monotonicNanos())),
            progressTimeoutMillis = call.route.progressTimeoutMillis,
        )

    private fun read(
        response: UpstreamResponse,
        attempt: RequestId,
        target: UpstreamSpec,
    ) {
        if (response.status in REFUSALS) return handle(StreamEvent.Broken(attempt))
        if (response.status in CALLER_ERRORS) return onRejected(response.status)
        mayHaveRun = true
        if (response.status != 200) {
            attempts.recordFailure(target, UpstreamError.Refused(response.status, null))
            return handle(StreamEvent.Broken(attempt))
        }
        val error = readChunks(BoundedLines(response.body, MAX_LINE_BYTES), attempt) ?: return
        attempts.recordFailure(target, error)
        onFailure(error, attempt, target)
    }

    /** Reads chunks until the attempt ends; returns why the connection ended, or null when the state machine ended the attempt. */
    private fun readChunks(
        lines: BoundedLines,
        attempt: RequestId,
    ): UpstreamError? {
        while (outcome == null && nextOpen == null) {
            if (call.shouldHandOver() && sink.tryHandOver()) {
                outcome = HANDED_OVER
                return null
            }
            val line =
                try {
                    lines.next()
                } catch (e: SocketTimeoutException) {
                    return UpstreamError.Silent(Duration.ofMillis(call.route.progressTimeoutMillis))
                } catch (e: IOException) {
                    return UpstreamError.Broken(e.message ?: e.javaClass.simpleName)
                } ?: return UpstreamError.Broken("stream ended without [DONE]")
            if (line.startsWith(DATA)) handleData(line.substring(DATA.length), attempt)?.let { return it }
        }
        return null
    }

    private fun handleData(
        data: String,
        attempt: RequestId,
    ): UpstreamError? {
        if (data == DONE) {
            handle(StreamEvent.Finished(attempt))
            return null
        }
        val next = ModelChunk.parse(data) ?: return UpstreamError.Malformed("chunk is not a JSON object")
        val id = next.id
        if (id != attempt.value) log.write(LogEvent.FOREIGN_CHUNK, "expected" to attempt, "found" to id)
        val index = next.tokenIndex
        val tokenless = index == null || (next.text.isEmpty() && next.usage != null)
        if (tokenless && id == attempt.value) {
            sink.write(next.withoutTokenIndex())
            return null
        }
        chunk = next
        handle(StreamEvent.Chunk(attempt, RequestId(id.orEmpty()), index ?: state.tokens.size, next.text))
        return null
    }

    private fun onFailure(
        error: UpstreamError,
        attempt: RequestId,
        target: UpstreamSpec,
    ) {
        if (error is UpstreamError.NotSent) {
            selector.onUnreachable(target)
            return handle(StreamEvent.Broken(attempt))
        }
        mayHaveRun = true
        if (error is UpstreamError.Silent) handle(StreamEvent.Tick)
        if (outcome != null || nextOpen != null) return
        if (error is UpstreamError.Broken) selector.onConnectionBroken(call.fingerprint, target)
        handle(StreamEvent.Broken(attempt))
    }

    private fun onRejected(status: Int) {
        val detail = "the model engine rejected the request with status $status"
        handle(StreamEvent.Refused(RequestError(ErrorCode.BAD_REQUEST, ExecutionStatus.NOT_RUN, detail)))
    }

    private fun handle(event: StreamEvent) {
        val step = StreamMachine.step(state, event, clock.monotonicNanos())
        state = step.state
        step.commands.forEach(::execute)
    }

    private fun execute(command: StreamCommand) {
        when (command) {
            is StreamCommand.Open -> nextOpen = command
            is StreamCommand.Relay -> sink.write(checkNotNull(chunk) { "no chunk to relay" })
            is StreamCommand.Complete -> complete()
            is StreamCommand.Probe -> handle(StreamEvent.Probed(command.upstream, upstream?.let(selector::probe) ?: false))
            is StreamCommand.ReportDead -> upstream?.let { attempts.recordFailure(it, UpstreamError.Broken("no response to a probe")) }
            is StreamCommand.ExportKv -> handle(StreamEvent.KvExported(null))
            is StreamCommand.Fail -> fail(command.error)
            is StreamCommand.Cancel -> Unit
        }
    }

    private fun complete() {
        outcome = "ok"
        sink.complete()
    }

    private fun fail(error: RequestError) {
        outcome = error.code.wireName
        sink.fail(error.copy(executed = if (mayHaveRun) ExecutionStatus.UNKNOWN else ExecutionStatus.NOT_RUN))
    }

    private fun limits(): StreamLimits {
        val progress = TimeUnit.MILLISECONDS.toNanos(call.route.progressTimeoutMillis)
        return StreamLimits(progress, progress, TimeUnit.SECONDS.toNanos(1), call.deadlineNanos)
    }

    private companion object {
        const val DATA = "data: "
        const val DONE = "[DONE]"
        const val HANDED_OVER = "handed-over"
        const val BYTES_PER_TOKEN = 4

        /** Lines of token streams have some hundred bytes. */
        const val MAX_LINE_BYTES = 1_024 * 1_024
        val REFUSALS = setOf(429, 503)
        val CALLER_ERRORS = 400..499
    }
}
