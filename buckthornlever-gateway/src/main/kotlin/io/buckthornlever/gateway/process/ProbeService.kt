package io.buckthornlever.gateway.process

import io.buckthornlever.api.serving.CallerLimits
import io.buckthornlever.gateway.connection.CallerExchange
import io.buckthornlever.gateway.connection.CallerReply
import io.buckthornlever.gateway.connection.CallerRequest
import io.buckthornlever.gateway.connection.CallerService
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus

/** Serves metrics at `/metrics` and readiness at any other path. */
internal class ProbeService(
    private val isReady: () -> Boolean,
    private val metrics: GatewayMetrics,
) : CallerService {
    /** Its requests have no body. */
    override val limits: CallerLimits = CallerLimits(maxHeaderBytes = MAX_HEADER_BYTES, maxBodyBytes = 0)
    override val draining: Boolean = false

    override fun serve(
        request: CallerRequest,
        reply: CallerReply,
    ): CallerExchange {
        if (request.head.uri().startsWith(METRICS_PATH)) {
            reply.respond(
                HttpResponseStatus.OK,
                DefaultHttpHeaders().set("content-type", "text/plain; version=0.0.4"),
                metrics.prometheusText(),
            )
        } else {
            val status = if (isReady()) HttpResponseStatus.OK else HttpResponseStatus.SERVICE_UNAVAILABLE
            reply.respond(status, DefaultHttpHeaders(), ByteArray(0))
        }
        return CompletedExchange
    }

    /** An exchange that is already answered, so that nothing is left to cancel. */
    private object CompletedExchange : CallerExchange {
        override fun onCallerDisconnected() = Unit

        override fun onWritabilityChanged(writable: Boolean) = Unit
    }

    private companion object {
        const val MAX_HEADER_BYTES = 8 * 1_024
        const val METRICS_PATH = "/metrics"
    }
}
