package io.buckthornlever.gateway.request

import io.buckthornlever.gateway.connection.CallerExchange
import io.buckthornlever.gateway.connection.CallerReply
import io.buckthornlever.gateway.connection.CallerRequest
import io.netty.channel.EventLoop
import java.time.Duration
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit

/**
 * Requests that arrive before the first serving table and division of quotas. Callers that waited for a restarted instance come all
 * at once in the moment in which it listens; both follow shortly, so that asking them to come back would cost them far more time.
 *
 * @param serve serves a request once there is a table, or refuses it when there is none
 */
internal class ParkedRequests(
    private val loop: EventLoop,
    private val serve: (CallerRequest, CallerReply) -> CallerExchange,
) {
    private val parked = LinkedHashSet<Parked>()

    fun park(
        request: CallerRequest,
        reply: CallerReply,
        longest: Duration,
    ): CallerExchange {
        val entry = Parked(request, reply)
        parked.add(entry)
        entry.timer = loop.schedule({ entry.release() }, longest.toMillis(), TimeUnit.MILLISECONDS)
        return entry
    }

    /** Serves all requests, in the order of their arrival. */
    fun releaseAll(): Unit = parked.toList().forEach { it.release() }

    private inner class Parked(
        private val request: CallerRequest,
        private val reply: CallerReply,
    ) : CallerExchange {
        var timer: Future<*>? = null
        private var served: CallerExchange? = null

        fun release() {
            if (!parked.remove(this)) return
            timer?.cancel(false)
            served = serve(request, reply)
        }

        override fun onCallerDisconnected() {
            parked.remove(this)
            timer?.cancel(false)
            served?.onCallerDisconnected()
        }

        override fun onWritabilityChanged(writable: Boolean) {
            served?.onWritabilityChanged(writable)
        }
    }
}
