package io.buckthornlever.core.process

import io.buckthornlever.api.request.RequestId

/** Effects that [ShutdownMachine] requests. */
public sealed interface ShutdownCommand {
    /** Answer `/readyz` with "not ready", so that the load balancer stops sending new requests. */
    public data object DisableReadiness : ShutdownCommand

    /** Notify peers that this instance is leaving. */
    public data object NotifyPeers : ShutdownCommand

    /** Hand [request] over to another instance. */
    public data class HandOver(
        val request: RequestId,
    ) : ShutdownCommand

    /** Close the listeners and exit; [cutRequests] are the requests that could neither finish nor be handed over. */
    public data class Stop(
        val cutRequests: Set<RequestId>,
    ) : ShutdownCommand
}
