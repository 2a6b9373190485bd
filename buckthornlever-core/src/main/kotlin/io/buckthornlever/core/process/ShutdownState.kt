package io.buckthornlever.core.process

import io.buckthornlever.api.request.RequestId

/**
 * State of the shutdown of one entry instance. Times are monotonic, in nanoseconds.
 *
 * @property running requests in progress; the value is true for those that another instance can continue
 * @property drainUntilNanos time until which the load balancer may still send requests
 * @property deadlineNanos time by which the process must have exited
 * @property peerConfirmed true once a peer has confirmed the notification that this instance is leaving
 * @property peersNotifiedAtNanos time at which peers were last notified
 * @property handingOver requests whose handover has started
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
