package io.buckthornlever.core.process

import io.buckthornlever.api.request.RequestId

/** Effects that [ShutdownMachine] asks for. */
public sealed interface ShutdownCommand {
    /** Answer `/readyz` with "not ready", so that the load balancer stops sending. */
    public data object DisableReadiness : ShutdownCommand

    /** Tell peers that this instance leaves. */
    public data object NotifyPeers : ShutdownCommand

    /** Hand [request] over to another instance. */
    public data class HandOver(
        val request: RequestId,
    ) : ShutdownCommand

    /** Close the listeners and exit; [cut] are the requests that could neither end nor be handed over. */
    public data class Stop(
        val cut: Set<RequestId>,
    ) : ShutdownCommand
}
