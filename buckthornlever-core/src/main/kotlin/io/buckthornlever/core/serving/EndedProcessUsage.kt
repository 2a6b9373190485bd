package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId

/**
 * Counts of a process that has ended.
 *
 * @property instance name of its instance
 * @property incarnation start time of the process in milliseconds since the epoch
 * @property windows number of requests that began to run, by accounting window and client account
 */
public data class EndedProcessUsage(
    val instance: String,
    val incarnation: Long,
    val windows: Map<Long, Map<AccountId, Long>>,
)
