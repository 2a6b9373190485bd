package io.buckthornlever.gateway.process

import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.serving.CallerLimits
import io.buckthornlever.api.serving.StateKind
import io.buckthornlever.core.serving.RelayLog
import io.buckthornlever.core.serving.RelayReply
import io.buckthornlever.gateway.connection.CallerExchange
import io.buckthornlever.gateway.connection.CallerReply
import io.buckthornlever.gateway.connection.CallerRequest
import io.buckthornlever.gateway.connection.CallerService
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.QueryStringDecoder
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit

/**
 * Serves the shared state to other instances that follow this one instead of the store. A request for which there are no changes
 * is held until there are some, for at most the wait that it states (long polling).
 *
 * @param checkPause called on the arrival of each request, so that a suspension of the host is detected before stale state is served
 */
internal class RelayService(
    private val loop: EventLoop,
    private val clock: Clock,
    private val logs: Map<StateKind, RelayLog>,
    private val checkPause: () -> Unit,
) : CallerService {
    private val pendingPolls = HashMap<StateKind, LinkedHashSet<PendingPoll>>()

    override val limits: CallerLimits = CallerLimits()
    override val draining: Boolean = false

    override fun serve(
        request: CallerRequest,
        reply: CallerReply,
    ): CallerExchange {
        checkPause()
        val uri = QueryStringDecoder(request.head.uri())
        val kind = StateKind.entries.firstOrNull { RelayPaths.of(it) == uri.path() && it in logs }
        if (kind == null) {
            reply.respond(HttpResponseStatus.NOT_FOUND, DefaultHttpHeaders(), EMPTY)
            return UnknownPathExchange
        }
        val since = uri.longParameter(RelayPaths.SINCE)
        val wait = (uri.longParameter(RelayPaths.WAIT_MILLIS) ?: 0).coerceIn(0, MAX_WAIT_MILLIS)
        val poll = PendingPoll(kind, since, request.arrivedNanos, reply)
        if (!poll.respond(wait == 0L || since == null)) {
            pendingPolls.getOrPut(kind) { LinkedHashSet() }.add(poll)
            poll.timer = loop.schedule({ poll.respond(true) }, wait, TimeUnit.MILLISECONDS)
        }
        return poll
    }

    /** Answers the pending polls of [kind], whose log has new changes. */
    fun onChanged(kind: StateKind) {
        pendingPolls[kind]?.toList()?.forEach { it.respond(false) }
    }

    /** Answers the pending polls on logs whose content the store has not confirmed recently enough. */
    fun tick() {
        val now = clock.monotonicNanos()
        for ((kind, polls) in pendingPolls) {
            if (!logs.getValue(kind).isAvailable(now)) polls.toList().forEach { it.respond(true) }
        }
    }

    private inner class PendingPoll(
        private val kind: StateKind,
        private val since: Long?,
        private val arrivedNanos: Long,
        private val reply: CallerReply,
    ) : CallerExchange {
        var timer: Future<*>? = null

        /** Responds unless there are no changes and [evenIfEmpty] is false; returns true if it has responded. */
        fun respond(evenIfEmpty: Boolean): Boolean {
            val logReply = logs.getValue(kind).reply(since, clock.monotonicNanos())
            if (logReply is RelayReply.Changes && logReply.changes.isEmpty() && !evenIfEmpty) return false
            close()
            when (logReply) {
                is RelayReply.Changes -> {
                    val response = RelayResponse(logReply.changes, logReply.revision, logReply.asOfNanos - arrivedNanos)
                    val body = CborCodec.encode(RelayResponse.serializer(), response)
                    reply.respond(HttpResponseStatus.OK, DefaultHttpHeaders(), body)
                }
                RelayReply.HistoryGone -> reply.respond(HttpResponseStatus.GONE, DefaultHttpHeaders(), EMPTY)
                RelayReply.Unavailable -> reply.respond(HttpResponseStatus.SERVICE_UNAVAILABLE, DefaultHttpHeaders(), EMPTY)
            }
            return true
        }

        override fun onCallerDisconnected() = close()

        override fun onWritabilityChanged(writable: Boolean) = Unit

        private fun close() {
            timer?.cancel(false)
            pendingPolls[kind]?.remove(this)
        }
    }

    /** A request for an unknown path, which is already answered. */
    private object UnknownPathExchange : CallerExchange {
        override fun onCallerDisconnected() = Unit

        override fun onWritabilityChanged(writable: Boolean) = Unit
    }

    private fun QueryStringDecoder.longParameter(name: String): Long? = parameters()[name]?.firstOrNull()?.toLongOrNull()

    private companion object {
        /** Upper limit of the wait that a request may state. */
        const val MAX_WAIT_MILLIS = 10_000L
        val EMPTY = ByteArray(0)
    }
}
