package io.buckthornlever.core.process

import io.buckthornlever.api.request.RequestId

/**
 * Shutdown of one entry instance.
 *
 * @property running requests in progress; true for those that another instance can continue
 * @property drainUntilNanos until when the load balancer may still send requests
 * @property deadlineNanos when the process must have ended
 * @property peerConfirmed true once a peer has confirmed that this instance leaves
 * @property peersNotifiedAtNanos when peers were last told
 * @property handingOver requests whose handover has begun
 */
public data class ShutdownState(
    val phase: ShutdownPhase = ShutdownPhase.SERVING,
    val running: Map<RequestId, Boolean> = emptyMap(),
    val drainUntilNanos: Long = 0,
    val deadlineNanos: Long = 0,
    val peerConfirmed: Boolean = false,
    val peersNotifiedAtNanos: Long = 0,
    val handingOver: Set<RequestId> = emptySet(),
)
