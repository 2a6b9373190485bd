package io.buckthornlever.core.request

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.request.WorkClass

/**
 * State of the attempts of one request.
 *
 * @property attempts number of attempts started so far, including hedges
 * @property running upstreams with an attempt in progress
 * @property failed upstreams at which an attempt failed; not chosen again
 * @property failedDomains failure domains of [failed]; avoided while another domain has a candidate
 * @property hedged true once the single hedge has been requested
 * @property maybeExecuted true once a byte of the call may have reached an upstream
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
