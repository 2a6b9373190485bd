package io.buckthornlever.core.connection

/**
 * What one entry instance knows about an upstream at one moment.
 *
 * @property inFlight calls of this instance in execution
 * @property reportedLoad requests running and waiting in the last load report
 * @property capacity requests at once that the upstream bears
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
