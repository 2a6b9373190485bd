package io.buckthornlever.daemon.request

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.buckthornlever.api.connection.UpstreamClient
import io.buckthornlever.api.connection.UpstreamError
import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.connection.UpstreamRequest
import io.buckthornlever.api.connection.UpstreamResponse
import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.daemon.connection.UpstreamRegistry
import io.buckthornlever.daemon.process.DaemonMetrics
import io.buckthornlever.daemon.process.LogEvent
import io.buckthornlever.daemon.version.OutcomeRecorder
import io.buckthornlever.gateway.process.EventLog
import java.time.Duration

/** Makes single calls to upstreams and keeps the upstreams' states up to date. */
internal class AttemptRunner(
    private val client: UpstreamClient,
    private val upstreams: UpstreamRegistry,
    private val metrics: DaemonMetrics,
    private val log: EventLog,
    private val clock: Clock,
    private val recorder: OutcomeRecorder,
) {
    /** Attempt of the current thread; tells [run] of failures that occur after the response head. */
    private class Attempt(
        val upstream: UpstreamId,
        var failed: Boolean = false,
    )

    private val currentAttempt = ThreadLocal<Attempt>()

    /** Calls [upstream] and passes the result to [onResult]; the call counts as in flight until [onResult] returns. */
    fun <T> run(
        upstream: UpstreamSpec,
        request: UpstreamRequest,
        onResult: (Result<UpstreamResponse, UpstreamError>) -> T,
    ): T {
        val state = upstreams.stateOf(upstream)
        val load = upstreams.statusOf(upstream)
        val attempt = Attempt(upstream.id)
        val start = clock.monotonicNanos()
        currentAttempt.set(attempt)
        state.inFlight.incrementAndGet()
        try {
            val result = client.call(upstream, request)
            result
                .onSuccess { metrics.attempts.labelValues("answered").inc() }
                .onFailure { recordFailure(upstream, it) }
            val used = onResult(result)
            val latency = Duration.ofNanos(clock.monotonicNanos() - start)
            recorder.recordAttempt(upstream, request, result, attempt.failed, latency, load)
            return used
        } finally {
            state.inFlight.decrementAndGet()
            currentAttempt.remove()
        }
    }

    /** Counts a failure of [upstream]; callers report failures that occur after the response head. */
    fun recordFailure(
        upstream: UpstreamSpec,
        error: UpstreamError,
    ) {
        currentAttempt.get()?.takeIf { it.upstream == upstream.id }?.failed = true
        metrics.attempts.labelValues(error.javaClass.simpleName.lowercase()).inc()
        if (upstreams.stateOf(upstream).recordFailure()) log.write(LogEvent.UPSTREAM_SUSPECT, "upstream" to upstream.id, "error" to error)
    }
}
