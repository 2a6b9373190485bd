package io.buckthornlever.core.process

import io.buckthornlever.api.request.RequestId

/** What happens to an entry instance on its way to the end. */
public sealed interface ShutdownEvent {
    /** The instance must end by [deadlineNanos]: a reclaim notice or an operator's order. */
    public data class ShutdownRequested(
        val deadlineNanos: Long,
    ) : ShutdownEvent

    /** A request was admitted; [transferable] when another instance can continue it. */
    public data class RequestAdmitted(
        val request: RequestId,
        val transferable: Boolean,
    ) : ShutdownEvent

    /** A request became transferable, or stopped being so. */
    public data class Transferable(
        val request: RequestId,
        val transferable: Boolean,
    ) : ShutdownEvent

    /** A request ended or was handed over. */
    public data class RequestEnded(
        val request: RequestId,
    ) : ShutdownEvent

    /** A handover failed; it is tried again. */
    public data class HandOverFailed(
        val request: RequestId,
    ) : ShutdownEvent

    /** A peer confirmed that this instance leaves. */
    public data object PeerConfirmed : ShutdownEvent

    /** Time passed. */
    public data object Tick : ShutdownEvent
}
