package io.buckthornlever.core.request

import io.buckthornlever.api.request.RequestError

/** What becomes of a queued request. */
public sealed interface AdmissionEvent {
    /** The request the event is about. */
    public val request: AdmissionRequest

    /** The request has been started with the place that [selection] reserves. */
    public data class Started(
        override val request: AdmissionRequest,
        val selection: Selection.Chosen,
    ) : AdmissionEvent

    /** The request has left the queue without being started; [error] says "not run". */
    public data class Refused(
        override val request: AdmissionRequest,
        val error: RequestError,
    ) : AdmissionEvent
}
