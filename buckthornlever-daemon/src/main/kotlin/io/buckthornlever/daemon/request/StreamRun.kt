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
import java.io.BufferedReader
import java.io.IOException
import java.net.SocketTimeoutException
import java.time.Duration
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport

/** Carries out [StreamMachine] for one completion on the calling thread. */
internal class StreamRun(
    private val call: ModelCall,
    private val body: ModelBody,
    private val sink: ModelSink,
    private val access: UpstreamAccess,
    private val attempts: AttemptRunner,
    private val budgets: RetryBudgets,
    private val clock: Clock,
    private val log: EventLog,
) {
    private var state =
        StreamState(
            RequestIds.attempt(call.id, 0),
            limits(),
            promptTokens = body.prompt.length / BYTES_PER_TOKEN,
            relayIndex = call.relayFrom,
        )
    private var open: StreamCommand.Open? = null
    private var outcome: String? = null
    private var chunk: ModelChunk? = null
    private var upstream: UpstreamSpec? = null
    private var mayHaveRun = false

    /** Produces the whole answer; the returned code is the outcome for metrics. */
    fun run(): String {
        feed(StreamEvent.Begin)
        while (true) {
            outcome?.let { return it }
            if (call.interrupted() && sink.interrupt()) return INTERRUPTED
            attempt(checkNotNull(open) { "the stream neither ended nor continues" })
        }
    }

    private fun attempt(order: StreamCommand.Open) {
        open = null
        if (order.delayNanos > 0) LockSupport.parkNanos(order.delayNanos)
        if (!affordable()) return refuse(ErrorCode.NO_UPSTREAM, "the retry budget of the route is exhausted")
        val query = SelectionQuery(call.route, call.configuration().pools, body.prompt, order.avoidedUpstreams)
        when (val choice = access.choose(query, call.fingerprint, order.attempt, mayHaveRun, order.preferredUpstream)) {
            is UpstreamAccess.Choice.Refuse -> feed(StreamEvent.Refused(choice.error))
            is UpstreamAccess.Choice.None -> noCandidate(order)
            is UpstreamAccess.Choice.Use -> send(order, choice.upstream)
        }
    }

    // A person waits for interactive work, and long work must finish; only the former is refused within its budget.
    private fun affordable(): Boolean =
        state.attempts <= 1 || state.tokens.isNotEmpty() || call.route.workClass == WorkClass.LONG || budgets.withdraw(call.route)

    private fun noCandidate(order: StreamCommand.Open) {
        val mayWait = state.tokens.isNotEmpty() || call.route.workClass == WorkClass.LONG
        if (mayWait) feed(StreamEvent.NoCandidate(order.attempt)) else refuse(ErrorCode.NO_UPSTREAM, "no upstream can take the request now")
    }

    private fun refuse(
        code: ErrorCode,
        detail: String,
    ) {
        feed(StreamEvent.Refused(RequestError(code, ExecutionStatus.UNKNOWN, detail, UpstreamAccess.RETRY_AFTER)))
    }

    private fun send(
        order: StreamCommand.Open,
        target: UpstreamSpec,
    ) {
        if (order.resumeTokens.isNotEmpty()) log.write(LogEvent.STREAM_RESUMED, "request" to call.id, "upstream" to target.id)
        upstream = target
        feed(StreamEvent.Opened(order.attempt, target.id))
        try {
            attempts.run(target, request(order)) { result ->
                result.mapBoth(
                    success = { response -> response.use { read(it, order.attempt, target) } },
                    failure = { failed(it, order.attempt, target) },
                )
            }
        } finally {
            access.release(call.fingerprint, order.attempt)
        }
    }

    private fun request(order: StreamCommand.Open): UpstreamRequest =
        UpstreamRequest(
            id = order.attempt,
            method = "POST",
            path = call.path,
            headers = listOf(Header("Content-Type", "application/json"), Header("Accept", "text/event-stream")),
            body = body.attempt(order.attempt, call.route.workClass, order.resumeTokens),
            timeoutMillis = maxOf(1, TimeUnit.NANOSECONDS.toMillis(call.deadlineNanos - clock.monotonicNanos())),
            progressTimeoutMillis = call.route.progressTimeoutMillis,
        )

    private fun read(
        response: UpstreamResponse,
        attempt: RequestId,
        target: UpstreamSpec,
    ) {
        if (response.status in REFUSALS) return feed(StreamEvent.Broken(attempt))
        if (response.status in CALLER_ERRORS) return rejected(response.status)
        mayHaveRun = true
        if (response.status != 200) {
            attempts.failed(target, UpstreamError.Refused(response.status, null))
            return feed(StreamEvent.Broken(attempt))
        }
        val error = readChunks(response.body.bufferedReader(), attempt) ?: return
        attempts.failed(target, error)
        failed(error, attempt, target)
    }

    /** Reads until the attempt ends; returns why the connection ended, or null when the machine has decided. */
    private fun readChunks(
        lines: BufferedReader,
        attempt: RequestId,
    ): UpstreamError? {
        while (outcome == null && open == null) {
            if (call.interrupted() && sink.interrupt()) {
                outcome = INTERRUPTED
                return null
            }
            val line =
                try {
                    lines.readLine()
                } catch (e: SocketTimeoutException) {
                    return UpstreamError.Silent(Duration.ofMillis(call.route.progressTimeoutMillis))
                } catch (e: IOException) {
                    return UpstreamError.Broken(e.message ?: e.javaClass.simpleName)
                } ?: return UpstreamError.Broken("stream ended without [DONE]")
            if (line.startsWith(DATA)) accept(line.substring(DATA.length), attempt)?.let { return it }
        }
        return null
    }

    private fun accept(
        data: String,
        attempt: RequestId,
    ): UpstreamError? {
        if (data == DONE) {
            feed(StreamEvent.Finished(attempt))
            return null
        }
        val next = ModelChunk.parse(data) ?: return UpstreamError.Malformed("chunk is not JSON")
        val id = next.id
        if (id != attempt.value) log.write(LogEvent.FOREIGN_CHUNK, "expected" to attempt, "found" to id)
        val index = next.tokenIndex
        val tokenless = index == null || (next.text.isEmpty() && next.usage != null)
        if (tokenless && id == attempt.value) {
            sink.chunk(next.withoutIndex())
            return null
        }
        chunk = next
        feed(StreamEvent.Chunk(attempt, RequestId(id.orEmpty()), index ?: state.tokens.size, next.text))
        return null
    }

    private fun failed(
        error: UpstreamError,
        attempt: RequestId,
        target: UpstreamSpec,
    ) {
        if (error is UpstreamError.NotSent) {
            access.unreachable(target)
            return feed(StreamEvent.Broken(attempt))
        }
        mayHaveRun = true
        if (error is UpstreamError.Silent) feed(StreamEvent.Tick)
        if (outcome != null || open != null) return
        if (error is UpstreamError.Broken) access.broke(call.fingerprint, target)
        feed(StreamEvent.Broken(attempt))
    }

    private fun rejected(status: Int) {
        val detail = "the model engine rejected the request with status $status"
        feed(StreamEvent.Refused(RequestError(ErrorCode.BAD_REQUEST, ExecutionStatus.NOT_RUN, detail)))
    }

    private fun feed(event: StreamEvent) {
        val step = StreamMachine.step(state, event, clock.monotonicNanos())
        state = step.state
        step.commands.forEach(::carryOut)
    }

    private fun carryOut(command: StreamCommand) {
        when (command) {
            is StreamCommand.Open -> open = command
            is StreamCommand.Relay -> sink.chunk(checkNotNull(chunk) { "no chunk to relay" })
            is StreamCommand.Complete -> complete()
            is StreamCommand.Probe -> feed(StreamEvent.Probed(command.upstream, upstream?.let(access::probe) ?: false))
            is StreamCommand.ReportDead -> upstream?.let { attempts.failed(it, UpstreamError.Broken("no answer to a probe")) }
            is StreamCommand.ExportKv -> feed(StreamEvent.KvExported(null))
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
        const val INTERRUPTED = "handed-over"
        const val BYTES_PER_TOKEN = 4
        val REFUSALS = setOf(429, 503)
        val CALLER_ERRORS = 400..499
    }
}
