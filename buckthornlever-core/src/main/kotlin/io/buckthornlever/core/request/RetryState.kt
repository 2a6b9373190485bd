package io.buckthornlever.core.request

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.request.WorkClass

/**
 * Attempts of one request.
 *
 * @property attempts attempts started so far, hedges included
 * @property running upstreams with an attempt in progress
 * @property failed upstreams that failed an attempt; not chosen again
 * @property failedDomains failure domains of [failed]; avoided while another domain has a candidate
 * @property hedged true once the single hedge has been started
 * @property maybeExecuted true once a byte of the call can have reached an upstream
 */
public data class RetryState(
    val workClass: WorkClass,
    val deadlineNanos: Long,
    val attempts: Int = 0,
    val running: Set<UpstreamId> = emptySet(),
    val failed: Set<UpstreamId> = emptySet(),
    val failedDomains: Set<FailureDomain> = emptySet(),
    val hedged: Boolean = false,
    val maybeExecuted: Boolean = false,
    val finished: Boolean = false,
)
