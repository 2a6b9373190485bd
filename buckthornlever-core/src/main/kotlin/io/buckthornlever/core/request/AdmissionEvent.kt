package io.buckthornlever.core.request

import io.buckthornlever.api.request.RequestError

/** Outcome for a queued request. */
public sealed interface AdmissionEvent {
    /** The request that was started or refused. */
    public val request: AdmissionRequest

    /** The request has been started in the slot that [selection] reserved. */
    public data class Started(
        override val request: AdmissionRequest,
        val selection: Selection.Chosen,
    ) : AdmissionEvent

    /** The request left the queue without being started; [error] reports it as not run. */
    public data class Refused(
        override val request: AdmissionRequest,
        val error: RequestError,
    ) : AdmissionEvent
}
