package io.buckthornlever.gateway.request

import io.buckthornlever.gateway.connection.CallerExchange
import io.buckthornlever.gateway.connection.CallerReply
import io.buckthornlever.gateway.connection.CallerRequest
import io.netty.channel.EventLoop
import java.time.Duration
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit

/**
 * Holds the requests that arrive before the first serving table and the state of earlier processes are known. Callers that waited for a
 * restarted instance connect all at once when it starts to listen. The table and that state follow shortly, so asking these
 * callers to retry would cost them far more time.
 *
 * @param serve serves a request if there is a serving table by then, and refuses it otherwise
 */
internal class ParkedRequests(
    private val loop: EventLoop,
    private val serve: (CallerRequest, CallerReply) -> CallerExchange,
) {
    private val parked = LinkedHashSet<ParkedRequest>()

    fun park(
        request: CallerRequest,
        reply: CallerReply,
        maxWait: Duration,
    ): CallerExchange {
        val parkedRequest = ParkedRequest(request, reply)
        parked.add(parkedRequest)
        parkedRequest.timer = loop.schedule({ parkedRequest.release() }, maxWait.toMillis(), TimeUnit.MILLISECONDS)
        return parkedRequest
    }

    /** Serves all parked requests, in the order of their arrival. */
    fun releaseAll(): Unit = parked.toList().forEach { it.release() }

    private inner class ParkedRequest(
        private val request: CallerRequest,
        private val reply: CallerReply,
    ) : CallerExchange {
        var timer: Future<*>? = null
        private var exchange: CallerExchange? = null

        fun release() {
            if (!parked.remove(this)) return
            timer?.cancel(false)
            exchange = serve(request, reply)
        }

        override fun onCallerDisconnected() {
            parked.remove(this)
            timer?.cancel(false)
            exchange?.onCallerDisconnected()
        }

        override fun onWritabilityChanged(writable: Boolean) {
            exchange?.onWritabilityChanged(writable)
        }

        override fun onProcessEnding() {
            release()
            exchange?.onProcessEnding()
        }
    }
}
