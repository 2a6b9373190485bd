package io.buckthornlever.gateway.request

import java.time.Duration

/** Time limits of request handling that do not depend on the route. */
internal object RequestLimits {
    /** Share of the target latency for which a request waits for a free upstream before it is refused. */
    const val QUEUE_TIME_SHARE = 0.5

    /** Longest time for which a request waits for the first serving table; listing the store takes a few round trips. */
    val MAX_PARK_TIME: Duration = Duration.ofMillis(400)

    /** A request waits for the first serving table for at most its time left divided by this number. */
    const val PARK_TIME_DIVISOR = 4L

    /** Retry delay when no upstream can take a request. Some requests have ended by then, so a retry is placed in most cases. */
    val RETRY_AFTER: Duration = Duration.ofMillis(300)

    /** Retry delay when the instance has no confirmed serving table or cannot reach the store. */
    val RETRY_AFTER_UNCONFIRMED: Duration = Duration.ofMillis(700)

    /** Retry delay for requests that crash upstreams; they will be refused again for minutes. */
    val RETRY_AFTER_POISON: Duration = Duration.ofMinutes(10)

    /** A request waits for quota for at most its target latency divided by this number; later refusals cost its caller more. */
    const val QUOTA_WAIT_DIVISOR = 8L

    /** Idle time up to which a pooled connection is reused for non-repeatable requests: upstreams may drop one unnoticed. */
    val MAX_IDLE_NON_REPEATABLE: Duration = Duration.ofMillis(1_500)

    /** Idle time up to which a pooled connection is reused for other requests. */
    val MAX_IDLE: Duration = Duration.ofSeconds(4)

    /** Share of the time left after which a repeatable request without progress is sent to another upstream. */
    const val ATTEMPT_TIME_SHARE = 0.4

    /**
     * Callers abandon a silent stream after the longest of this time, [CALLER_TIMEOUT_TARGET_LATENCIES] times the target latency
     * and [CALLER_TIMEOUT_PAUSES] times the longest pause of its route.
     */
    val MIN_CALLER_TIMEOUT: Duration = Duration.ofSeconds(2)
    const val CALLER_TIMEOUT_TARGET_LATENCIES = 4L
    const val CALLER_TIMEOUT_PAUSES = 8L

    /** Share of the caller's timeout after which a stalled resumable stream moves to another upstream, which needs the rest. */
    const val STALL_TIMEOUT_SHARE = 0.5

    /** No further attempt is started with less time left than this. */
    val MIN_ATTEMPT_TIME: Duration = Duration.ofMillis(10)
}
