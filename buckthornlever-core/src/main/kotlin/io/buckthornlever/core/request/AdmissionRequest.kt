package io.buckthornlever.core.request

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.process.PoolName
import io.buckthornlever.api.request.RequestId
import io.buckthornlever.api.request.WorkClass

/**
 * A request offered to the admission queue.
 *
 * @property primaryPool first pool of the route; requests with the same primary pool compete for the same upstreams
 * @property cost expected cost, in any unit that is the same for all requests, such as tokens
 * @property startDeadlineNanos monotonic time in nanoseconds after which starting the request is of no use to the caller
 */
public data class AdmissionRequest(
    val id: RequestId,
    val account: AccountId,
    val primaryPool: PoolName,
    val workClass: WorkClass,
    val cost: Double,
    val startDeadlineNanos: Long,
)
