package io.buckthornlever.gateway.process

import io.buckthornlever.api.serving.CallerLimits
import io.buckthornlever.gateway.connection.CallerExchange
import io.buckthornlever.gateway.connection.CallerReply
import io.buckthornlever.gateway.connection.CallerRequest
import io.buckthornlever.gateway.connection.CallerService
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus

/** Answers questions for readiness, on any path, and for metrics. */
internal class ProbeService(
    private val ready: () -> Boolean,
    private val metrics: GatewayMetrics,
) : CallerService {
    override val limits: CallerLimits = CallerLimits()
    override val draining: Boolean = false

    override fun serve(
        request: CallerRequest,
        reply: CallerReply,
    ): CallerExchange {
        if (request.head.uri().startsWith(METRICS_PATH)) {
            reply.respond(HttpResponseStatus.OK, DefaultHttpHeaders().set("content-type", "text/plain; version=0.0.4"), metrics.text())
        } else {
            val status = if (ready()) HttpResponseStatus.OK else HttpResponseStatus.SERVICE_UNAVAILABLE
            reply.respond(status, DefaultHttpHeaders(), ByteArray(0))
        }
        return Answered
    }

    private object Answered : CallerExchange {
        override fun onCallerDisconnected() = Unit

        override fun onWritabilityChanged(writable: Boolean) = Unit
    }

    private companion object {
        const val METRICS_PATH = "/metrics"
    }
}
