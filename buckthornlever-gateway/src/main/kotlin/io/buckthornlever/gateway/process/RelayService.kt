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
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit

/**
 * Answers other instances that follow this one instead of the shared store. A question without news waits for them, up to the
 * time that it names.
 *
 * @param pauseCheck called before each answer, so that a pause of the machine is noticed before anything is vouched for
 */
@OptIn(ExperimentalSerializationApi::class)
internal class RelayService(
    private val loop: EventLoop,
    private val clock: Clock,
    private val logs: Map<StateKind, RelayLog>,
    private val pauseCheck: () -> Unit,
) : CallerService {
    private val waiting = HashMap<StateKind, LinkedHashSet<Question>>()

    override val limits: CallerLimits = CallerLimits()
    override val draining: Boolean = false

    override fun serve(
        request: CallerRequest,
        reply: CallerReply,
    ): CallerExchange {
        pauseCheck()
        val uri = QueryStringDecoder(request.head.uri())
        val kind = StateKind.entries.firstOrNull { RelayPaths.of(it) == uri.path() && it in logs }
        if (kind == null) {
            reply.respond(HttpResponseStatus.NOT_FOUND, DefaultHttpHeaders(), EMPTY)
            return Unasked
        }
        val since = uri.number(RelayPaths.SINCE)
        val wait = (uri.number(RelayPaths.WAIT_MILLIS) ?: 0).coerceIn(0, MAX_WAIT_MILLIS)
        val question = Question(kind, since, request.arrivedNanos, reply)
        if (!question.answer(wait == 0L || since == null)) {
            waiting.getOrPut(kind) { LinkedHashSet() }.add(question)
            question.timer = loop.schedule({ question.answer(true) }, wait, TimeUnit.MILLISECONDS)
        }
        return question
    }

    /** The log of [kind] has new changes. */
    fun changed(kind: StateKind) {
        waiting[kind]?.toList()?.forEach { it.answer(false) }
    }

    /** Answers the questions on logs that can no longer be vouched for. */
    fun tick() {
        val now = clock.monotonicNanos()
        for ((kind, questions) in waiting) {
            if (!logs.getValue(kind).isAvailable(now)) questions.toList().forEach { it.answer(true) }
        }
    }

    private inner class Question(
        private val kind: StateKind,
        private val since: Long?,
        private val arrivedNanos: Long,
        private val reply: CallerReply,
    ) : CallerExchange {
        var timer: Future<*>? = null

        /** Answers when there is something to tell or [atOnce] is set; returns true when the question is settled. */
        fun answer(atOnce: Boolean): Boolean {
            val found = logs.getValue(kind).reply(since, clock.monotonicNanos())
            if (found is RelayReply.Changes && found.changes.isEmpty() && !atOnce) return false
            settle()
            when (found) {
                is RelayReply.Changes -> {
                    val answer = RelayAnswer(found.changes, found.revision, found.asOfNanos - arrivedNanos)
                    val body = Cbor.encodeToByteArray(RelayAnswer.serializer(), answer)
                    reply.respond(HttpResponseStatus.OK, DefaultHttpHeaders(), body)
                }
                RelayReply.HistoryGone -> reply.respond(HttpResponseStatus.GONE, DefaultHttpHeaders(), EMPTY)
                RelayReply.Unavailable -> reply.respond(HttpResponseStatus.SERVICE_UNAVAILABLE, DefaultHttpHeaders(), EMPTY)
            }
            return true
        }

        override fun onCallerDisconnected() = settle()

        override fun onWritabilityChanged(writable: Boolean) = Unit

        private fun settle() {
            timer?.cancel(false)
            waiting[kind]?.remove(this)
        }
    }

    /** A request for something that no relay tells, which has been answered. */
    private object Unasked : CallerExchange {
        override fun onCallerDisconnected() = Unit

        override fun onWritabilityChanged(writable: Boolean) = Unit
    }

    private fun QueryStringDecoder.number(name: String): Long? = parameters()[name]?.firstOrNull()?.toLongOrNull()

    private companion object {
        /** Longest time for which a question may wait. */
        const val MAX_WAIT_MILLIS = 10_000L
        val EMPTY = ByteArray(0)
    }
}
