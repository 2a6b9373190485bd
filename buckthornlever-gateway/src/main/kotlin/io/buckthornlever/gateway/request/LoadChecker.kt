package io.buckthornlever.gateway.request

import com.github.michaelbull.result.get
import io.buckthornlever.core.serving.LoadCheck
import io.buckthornlever.core.serving.UpstreamEntry
import io.buckthornlever.gateway.connection.HttpCallClient
import io.buckthornlever.gateway.connection.ServerAddress
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import java.time.Duration
import java.util.concurrent.TimeUnit

/** Asks upstreams for their load on the health path of their service, over the connections that requests use too. */
internal class LoadChecker(
    private val context: ServingContext,
) {
    /** Asks the upstreams of [service] that [check] names, and calls [done] once when the round has ended; not before it returns. */
    fun start(
        check: LoadCheck,
        service: String,
        done: () -> Unit,
    ) {
        val path = context.tableCache.table?.service(service)?.healthPath
        if (path == null) context.loop.execute(done) else Round(check, done).start(path)
    }

    private inner class Round(
        private val check: LoadCheck,
        private val done: () -> Unit,
    ) {
        private var isDone = false

        fun start(path: String) {
            scheduleEnd()
            check.asked.forEach { ask(it, path) }
        }

        private fun ask(
            entry: UpstreamEntry,
            path: String,
        ) {
            val address = ServerAddress(entry.upstream.host, entry.upstream.port)
            val client = HttpCallClient(context.loop, context.pool, address, MAX_RESPONSE_BYTES, MAX_IDLE)
            client.call(HttpMethod.GET, path, emptyMap(), null, TIMEOUT) { result -> onResult(entry, result.get()?.headers) }
        }

        // An answer that comes after the round still has a new figure.
        private fun onResult(
            entry: UpstreamEntry,
            headers: HttpHeaders?,
        ) {
            val now = now()
            val health = headers?.let(context.protocol::decodeHealth)?.takeIf { it.upstream == entry.upstream.id }
            if (health == null) {
                check.onFailed(entry)
            } else {
                context.balancer.onLoadReported(entry, health.load, now)
                check.onAnswered(entry, now)
            }
            context.metrics.recordLoadCheck(
                if (health == null) {
                    "failed"
                } else if (isDone) {
                    "late"
                } else {
                    "answered"
                },
            )
            if (!isDone && !endIfComplete(now)) scheduleEnd()
        }

        private fun scheduleEnd() {
            context.loop.schedule({ endIfComplete(now()) }, maxOf(0, check.deadlineNanos - now()), TimeUnit.NANOSECONDS)
        }

        /** Ends the round if it is complete. The caller of [start] is told later, since answers may come while it is still there. */
        private fun endIfComplete(now: Long): Boolean {
            if (isDone || !check.isComplete(now)) return isDone
            isDone = true
            context.loop.execute(done)
            return true
        }

        private fun now(): Long = context.clock.monotonicNanos()
    }

    private companion object {
        /** Health answers consist of a head and some words. */
        const val MAX_RESPONSE_BYTES = 4_096

        /** A connection on which an answer is longer overdue is closed. */
        val TIMEOUT: Duration = Duration.ofSeconds(1)

        /** A connection that was dropped unnoticed only costs a check, so even old ones are tried. */
        val MAX_IDLE: Duration = Duration.ofSeconds(12)
    }
}
