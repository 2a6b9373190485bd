package io.buckthornlever.api.connection

import kotlinx.serialization.Serializable

/**
 * Load as an upstream reports it; may be out of date.
 *
 * @property running number of requests in execution
 * @property waiting number of requests in the upstream's queue
 * @property capacity number of concurrent requests that the upstream can serve now
 * @property cold true while the upstream is warming up
 * @property leaving true once the upstream is about to shut down
 * @property measuredAt when the load was measured, as ISO-8601 instant
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
