package io.buckthornlever.core.request

/**
 * Time limits of one stream, in nanoseconds.
 *
 * @property firstTokenTimeoutNanos maximum time until the first token; longer than [progressTimeoutNanos] because upstreams queue
 * @property progressTimeoutNanos maximum time between tokens
 * @property probeTimeoutNanos maximum time until an upstream answers a probe
 * @property deadlineNanos monotonic time at which the stream fails
 */
public data class StreamLimits(
    val firstTokenTimeoutNanos: Long,
    val progressTimeoutNanos: Long,
    val probeTimeoutNanos: Long,
    val deadlineNanos: Long,
)
