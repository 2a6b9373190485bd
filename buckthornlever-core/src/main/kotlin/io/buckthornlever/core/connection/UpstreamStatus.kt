package io.buckthornlever.core.connection

/**
 * Snapshot of what one entry instance knows about an upstream.
 *
 * @property inFlight calls of this instance to the upstream that are in progress
 * @property reportedLoad requests running and waiting, according to the last load report
 * @property capacity number of concurrent requests that the upstream can serve
 * @property healthy false after repeated failures until a load report succeeds again
 */
public data class UpstreamStatus(
    val inFlight: Int,
    val reportedLoad: Int,
    val capacity: Int,
    val cold: Boolean,
    val leaving: Boolean,
    val healthy: Boolean,
)
