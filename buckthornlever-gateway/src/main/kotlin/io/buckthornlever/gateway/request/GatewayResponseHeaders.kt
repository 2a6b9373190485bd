package io.buckthornlever.gateway.request

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import java.time.Duration
import java.util.Locale

/** Headers of responses that the gateway creates itself. */
internal object GatewayResponseHeaders {
    private const val MILLIS_PER_SECOND = 1_000.0

    fun empty(): HttpHeaders = DefaultHttpHeaders()

    /** Asks the caller to retry after [delay], in seconds with three decimals. */
    fun retryAfter(delay: Duration): HttpHeaders =
        DefaultHttpHeaders().set(HttpHeaderNames.RETRY_AFTER, "%.3f".format(Locale.ROOT, delay.toMillis() / MILLIS_PER_SECOND))
}
