package io.buckthornlever.gateway.request

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.AccountId
import java.time.Duration

/**
 * What a forwarded request tells the upstream beside what the caller sent.
 *
 * @property upstream upstream that alone may run the request
 * @property account client account of the caller; null on routes without keys
 * @property timeLeft how long the answer is of use
 * @property lastEventId event after which a resumed stream goes on; null for a new one
 * @property urgency 0 is served first; null leaves the choice to the upstream
 */
public data class ForwardTarget(
    val upstream: UpstreamId,
    val account: AccountId?,
    val timeLeft: Duration,
    val lastEventId: Long?,
    val urgency: Int?,
)
