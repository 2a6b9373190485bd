package io.buckthornlever.core.request

/**
 * Time limits of one stream, in nanoseconds.
 *
 * @property firstTokenNanos longest silence before the first token; longer than [progressNanos] because upstreams queue
 * @property progressNanos longest silence between tokens
 * @property probeNanos time that an upstream has to answer a probe
 * @property deadlineNanos monotonic time at which the stream fails
 */
public data class StreamLimits(
    val firstTokenNanos: Long,
    val progressNanos: Long,
    val probeNanos: Long,
    val deadlineNanos: Long,
)
