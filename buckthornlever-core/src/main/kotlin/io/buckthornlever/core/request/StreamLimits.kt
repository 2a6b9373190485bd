package io.buckthornlever.core.request

/**
 * Time limits of one stream, in nanoseconds.
 *
 * @property firstTokenTimeoutNanos longest silence before the first token; longer than [progressTimeoutNanos] because upstreams queue
 * @property progressTimeoutNanos longest silence between tokens
 * @property probeTimeoutNanos time that an upstream has to answer a probe
 * @property deadlineNanos monotonic time at which the stream fails
 */
public data class StreamLimits(
    val firstTokenTimeoutNanos: Long,
    val progressTimeoutNanos: Long,
    val probeTimeoutNanos: Long,
    val deadlineNanos: Long,
)
