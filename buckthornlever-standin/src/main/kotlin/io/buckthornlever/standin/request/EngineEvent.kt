package io.buckthornlever.standin.request

/** Progress of a request, from the batch scheduler to the thread that writes the answer. */
internal sealed interface EngineEvent {
    data class Token(
        val index: Int,
        val text: String,
    ) : EngineEvent

    data class End(
        val outcome: EngineOutcome,
    ) : EngineEvent
}
