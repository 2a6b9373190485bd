package io.buckthornlever.gateway.request

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.AccountId
import java.time.Duration

/**
 * What a forwarded request tells the upstream in addition to what the caller sent.
 *
 * @property upstream the only upstream that may run the request
 * @property account client account of the caller; null on routes that need no key
 * @property timeLeft time left until the response is of no use to the caller
 * @property lastEventId ID of the event after which a resumed stream continues; null for a new stream
 * @property urgency priority at the upstream, 0 is served first; null leaves it to the upstream
 */
public data class ForwardTarget(
    val upstream: UpstreamId,
    val account: AccountId?,
    val timeLeft: Duration,
    val lastEventId: Long?,
    val urgency: Int?,
)
