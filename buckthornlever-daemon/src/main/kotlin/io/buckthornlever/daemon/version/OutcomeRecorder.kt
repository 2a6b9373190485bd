package io.buckthornlever.daemon.version

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.buckthornlever.api.connection.UpstreamError
import io.buckthornlever.api.connection.UpstreamRequest
import io.buckthornlever.api.connection.UpstreamResponse
import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.core.connection.UpstreamStatus
import io.buckthornlever.core.process.UpstreamEvent
import io.buckthornlever.core.request.BasicRouteLookup
import io.buckthornlever.core.version.Outcome
import java.time.Duration

/** Turns finished attempts into evidence about versions and into upstream events. */
internal class OutcomeRecorder(
    private val configuration: () -> Configuration,
    private val traffic: TrafficControl,
) {
    /**
     * Records an attempt on [upstream] that took [latency].
     *
     * @param failed true when the attempt failed, also when it failed after the response head
     * @param load the upstream's state at dispatch
     */
    fun recordAttempt(
        upstream: UpstreamSpec,
        request: UpstreamRequest,
        result: Result<UpstreamResponse, UpstreamError>,
        failed: Boolean,
        latency: Duration,
        load: UpstreamStatus,
    ) {
        val status = result.fold(success = { it.status }, failure = { (it as? UpstreamError.Refused)?.status })
        // Refusals for lack of capacity (429, 503) and calls that were never sent say nothing about the version.
        val refused = status in REFUSALS
        val notSent = result.fold(success = { false }, failure = { it is UpstreamError.NotSent })
        val event = if (refused) {
            UpstreamEvent.Refused
        } else if (failed && status == null) {
            UpstreamEvent.Failed
        } else {
            UpstreamEvent.Answered
        }
        traffic.observe(upstream.id, event)
        if (!refused && !notSent) outcome(upstream, request, failed || (status ?: 0) >= SERVER_ERRORS, latency, load)?.let(traffic::observe)
    }

    private fun outcome(
        upstream: UpstreamSpec,
        request: UpstreamRequest,
        failed: Boolean,
        latency: Duration,
        load: UpstreamStatus,
    ): Outcome? {
        val current = configuration()
        val pool =
            current.pools.pools.firstOrNull { pool -> pool.move != null && pool.upstreams.any { it.id == upstream.id } } ?: return null
        val path = request.path.substringBefore('?')
        val route = BasicRouteLookup.candidates(current.routes, request.method, path).firstOrNull { pool.name in it.pools } ?: return null
        val underLoad = maxOf(load.inFlight, load.reportedLoad) * 2 >= load.capacity
        return Outcome(pool.name, route.name, upstream.version, failed, latency, underLoad, load.cold)
    }

    private companion object {
        val REFUSALS = setOf(429, 503)
        const val SERVER_ERRORS = 500
    }
}
