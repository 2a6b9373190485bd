package io.buckthornlever.core.serving

import java.time.Duration

/**
 * Times after which a request that is sent to an upstream now can be expected to have output.
 *
 * @property firstOutput time to the first event of a stream, or to the response of another request
 * @property lastOutput time to the last event of a stream, or to the response of another request
 */
public data class ExpectedTimes(
    val firstOutput: Duration,
    val lastOutput: Duration,
)
