package io.buckthornlever.core.process

import io.buckthornlever.api.request.RequestId

/** Input of [ShutdownMachine]. */
public sealed interface ShutdownEvent {
    /** The instance must exit by [deadlineNanos], because of a reclaim notice or an operator's command. */
    public data class ShutdownRequested(
        val deadlineNanos: Long,
    ) : ShutdownEvent

    /** A request was admitted; [transferable] when another instance can continue it. */
    public data class RequestAdmitted(
        val request: RequestId,
        val transferable: Boolean,
    ) : ShutdownEvent

    /** A request became transferable to another instance, or ceased to be. */
    public data class TransferabilityChanged(
        val request: RequestId,
        val transferable: Boolean,
    ) : ShutdownEvent

    /** A request ended or was handed over. */
    public data class RequestEnded(
        val request: RequestId,
    ) : ShutdownEvent

    /** A handover failed and is tried again. */
    public data class HandOverFailed(
        val request: RequestId,
    ) : ShutdownEvent

    /** A peer confirmed the notification that this instance is leaving. */
    public data object PeerConfirmed : ShutdownEvent

    /** Time passed. */
    public data object Tick : ShutdownEvent
}
