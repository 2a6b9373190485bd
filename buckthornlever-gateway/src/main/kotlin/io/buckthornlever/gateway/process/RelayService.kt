package io.buckthornlever.gateway.process

import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.serving.CallerLimits
import io.buckthornlever.api.serving.ServingTable
import io.buckthornlever.api.serving.StateChange
import io.buckthornlever.api.serving.StateKind
import io.buckthornlever.api.serving.StateObject
import io.buckthornlever.api.serving.StateValue
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
 * @param hasRoomFor returns true if a response of the given size may be held until the other instance has read it
 * @param confirmedTable returns the serving table in force; null if the store has not confirmed any since this process started or was
 * paused
 * @param checkPause called on the arrival of each request, so that a suspension of the host is detected before stale state is served
 */
internal class RelayService(
    private val loop: EventLoop,
    private val clock: Clock,
    private val logs: Map<StateKind, RelayLog>,
    private val hasRoomFor: (Int) -> Boolean,
    private val confirmedTable: () -> ServingTable? = { null },
    private val checkPause: () -> Unit,
) : CallerService {
    private val pendingPolls = HashMap<StateKind, LinkedHashSet<PendingPoll>>()

    /** Its requests have no body. */
    override val limits: CallerLimits = CallerLimits(maxHeaderBytes = MAX_HEADER_BYTES, maxBodyBytes = 0)
    override val draining: Boolean = false

    override fun serve(
        request: CallerRequest,
        reply: CallerReply,
    ): CallerExchange {
        checkPause()
        val uri = QueryStringDecoder(request.head.uri())
        if (uri.path() == RelayPaths.NEWER_TABLE) return serveTable(uri.longParameter(RelayPaths.SINCE), reply)
        val kind = StateKind.entries.firstOrNull { RelayPaths.of(it) == uri.path() && it in logs }
        if (kind == null) {
            reply.respond(HttpResponseStatus.NOT_FOUND, DefaultHttpHeaders(), EMPTY)
            return AnsweredExchange
        }
        val newest = logs.getValue(kind).revision
        val statedSince = uri.longParameter(RelayPaths.SINCE)
        val format = RelayFormat.of(uri.longParameter(RelayPaths.VERSION) ?: 0, statedSince, newest)
        if (format == null) {
            // The follower then asks the store itself.
            reply.respond(HttpResponseStatus.SERVICE_UNAVAILABLE, DefaultHttpHeaders(), EMPTY)
            return AnsweredExchange
        }
        val since = format.since(statedSince, newest)
        val wait = (uri.longParameter(RelayPaths.WAIT_MILLIS) ?: 0).coerceIn(0, MAX_WAIT_MILLIS)
        val poll = PendingPoll(kind, since, format, request.arrivedNanos, reply)
        if (!poll.respond(wait == 0L || since == null)) {
            pendingPolls.getOrPut(kind) { LinkedHashSet() }.add(poll)
            poll.timer = loop.schedule({ poll.respond(true) }, wait, TimeUnit.MILLISECONDS)
        }
        return poll
    }

    private fun serveTable(
        since: Long?,
        reply: CallerReply,
    ): CallerExchange {
        val table = confirmedTable()
        val changes = listOf(StateChange(StateObject(TABLE_NAME, 0, table?.let(StateValue::Table)), false))
        val isNewer = table != null && since != null && table.version > since
        val body = if (isNewer) CborCodec.encode(RelayResponse.serializer(), RelayResponse(changes, 0, 0, PeerProtocol.CURRENT)) else EMPTY
        val status =
            when {
                table == null || !hasRoom(body) -> HttpResponseStatus.SERVICE_UNAVAILABLE
                isNewer -> HttpResponseStatus.OK
                else -> HttpResponseStatus.NO_CONTENT
            }
        reply.respond(status, DefaultHttpHeaders(), if (status == HttpResponseStatus.OK) body else EMPTY)
        return AnsweredExchange
    }

    private fun hasRoom(body: ByteArray): Boolean = body.size <= SMALL_BYTES || hasRoomFor(body.size)

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
        private val format: RelayFormat,
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
                    val body = CborCodec.encode(RelayResponse.serializer(), format.convert(response))
                    // Otherwise the other instance asks the next relay, or the store.
                    val hasRoom = hasRoom(body)
                    val status = if (hasRoom) HttpResponseStatus.OK else HttpResponseStatus.SERVICE_UNAVAILABLE
                    reply.respond(status, DefaultHttpHeaders(), if (hasRoom) body else EMPTY)
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

    /** A request that is already answered. */
    private object AnsweredExchange : CallerExchange {
        override fun onCallerDisconnected() = Unit

        override fun onWritabilityChanged(writable: Boolean) = Unit
    }

    private fun QueryStringDecoder.longParameter(name: String): Long? = parameters()[name]?.firstOrNull()?.toLongOrNull()

    private companion object {
        /** Upper limit of the wait that a request may state. */
        const val MAX_WAIT_MILLIS = 10_000L
        const val MAX_HEADER_BYTES = 4 * 1_024

        /** Response that is sent even while memory is short; usual changes are smaller. */
        const val SMALL_BYTES = 16 * 1_024
        const val TABLE_NAME = "main"
        val EMPTY = ByteArray(0)
    }
}
