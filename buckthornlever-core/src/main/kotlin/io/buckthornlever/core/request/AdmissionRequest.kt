package io.buckthornlever.core.request

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.process.PoolName
import io.buckthornlever.api.request.RequestId
import io.buckthornlever.api.request.WorkClass

/**
 * A request that waits for its turn.
 *
 * @property primaryPool requests of the same lane compete for the same upstreams; the name of the route's first pool
 * @property cost expected use of capacity in any unit that is the same for all requests, such as tokens
 * @property startDeadlineNanos monotonic time in nanoseconds after which starting it is of no use to the caller
 */
public data class AdmissionRequest(
    val id: RequestId,
    val account: AccountId,
    val primaryPool: PoolName,
    val workClass: WorkClass,
    val cost: Double,
    val startDeadlineNanos: Long,
)
