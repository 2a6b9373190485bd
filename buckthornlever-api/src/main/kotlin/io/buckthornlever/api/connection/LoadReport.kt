package io.buckthornlever.api.connection

import kotlinx.serialization.Serializable

/**
 * Load as an upstream reports it; lags behind reality.
 *
 * @property running requests in execution
 * @property waiting requests in the upstream's queue
 * @property capacity requests at once that the upstream bears now
 * @property measuredAt when the report was made, as ISO-8601 instant
 */
@Serializable
public data class LoadReport(
    val running: Int,
    val waiting: Int,
    val capacity: Int,
    val cold: Boolean = false,
    val leaving: Boolean = false,
    val measuredAt: String,
)
