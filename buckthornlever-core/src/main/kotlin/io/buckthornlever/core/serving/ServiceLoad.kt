package io.buckthornlever.core.serving

import java.time.Duration

/**
 * Load of the upstreams of a service that take requests, as far as this instance knows it.
 *
 * @property meanWait mean time before an upstream begins to read the prompt of a new request
 * @property age mean age of the load figures that [meanWait] relies on; null without a figure
 */
public data class ServiceLoad(
    val meanWait: Duration,
    val age: Duration?,
)
