package io.buckthornlever.gateway.request

import io.buckthornlever.api.serving.RequestKind
import io.buckthornlever.api.serving.ServedRoute
import java.time.Duration

/** Times within which an attempt of a request has to make progress. */
internal object ProgressTimeouts {
    /** Time without progress after which an attempt of a request of [route] with [timeLeft] is given up. */
    fun stall(
        route: ServedRoute,
        timeLeft: Duration,
    ): Duration =
        if (route.kind == RequestKind.STREAM) {
            share(callerTimeout(route), RequestLimits.STALL_TIMEOUT_SHARE)
        } else {
            share(timeLeft, RequestLimits.ATTEMPT_TIME_SHARE)
        }

    /** Time until the caller of a request of [route] with [timeLeft] gives up if there is no output. */
    fun firstOutput(
        route: ServedRoute,
        timeLeft: Duration,
    ): Duration = if (route.kind == RequestKind.STREAM) minOf(timeLeft, callerTimeout(route)) else timeLeft

    /** Time after which the caller abandons a silent stream. */
    private fun callerTimeout(route: ServedRoute): Duration =
        maxOf(
            RequestLimits.MIN_CALLER_TIMEOUT,
            route.targetLatency.multipliedBy(RequestLimits.CALLER_TIMEOUT_TARGET_LATENCIES),
            route.longestPause?.multipliedBy(RequestLimits.CALLER_TIMEOUT_PAUSES) ?: Duration.ZERO,
        )

    private fun share(
        time: Duration,
        share: Double,
    ): Duration = Duration.ofNanos((time.toNanos() * share).toLong())
}
