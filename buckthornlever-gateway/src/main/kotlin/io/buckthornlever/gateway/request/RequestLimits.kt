package io.buckthornlever.gateway.request

import java.time.Duration

/** Times of the request path that do not depend on a route. */
internal object RequestLimits {
    /** Share of the target latency for which a request waits for room at an upstream before it is refused. */
    const val QUEUE_TIME_SHARE = 0.5

    /** Longest time for which a request waits for the first serving table; a listing takes a few round trips. */
    val MAX_PARK_TIME: Duration = Duration.ofMillis(400)

    /** Part of a request's time for which it waits for the first serving table, as a divisor. */
    const val PARK_TIME_DIVISOR = 4L

    /** Pause after which a refused caller finds room again in most cases: some requests have ended by then. */
    val RETRY_AFTER: Duration = Duration.ofMillis(300)

    /** Pause after which a caller without a valid table or store behind the instance tries again. */
    val RETRY_AFTER_UNCONFIRMED: Duration = Duration.ofMillis(700)

    /** The quota refills continuously; by then some requests have left its window. */
    val RETRY_AFTER_QUOTA: Duration = Duration.ofSeconds(1)

    /** Idle time up to which a kept connection is used for requests that may not be repeated: servers may drop it unnoticed. */
    val MAX_IDLE_NON_REPEATABLE: Duration = Duration.ofMillis(1_500)

    /** Idle time up to which a kept connection is used for other requests. */
    val MAX_IDLE: Duration = Duration.ofSeconds(4)

    /** Share of the time left after which a repeatable request that got no answer is sent to another upstream. */
    const val ATTEMPT_TIME_SHARE = 0.4

    /** Callers leave a silent stream after the longest of this time and these multiples of its target latency and longest pause. */
    val MIN_CALLER_TIMEOUT: Duration = Duration.ofSeconds(2)
    const val CALLER_TIMEOUT_TARGET_LATENCIES = 4L
    const val CALLER_TIMEOUT_PAUSES = 8L

    /** Share of a caller's patience after which a silent resumable stream goes on at another upstream, which needs the rest. */
    const val STALL_TIMEOUT_SHARE = 0.5

    /** Time left below which an attempt is not started. */
    val MIN_ATTEMPT_TIME: Duration = Duration.ofMillis(10)
}
