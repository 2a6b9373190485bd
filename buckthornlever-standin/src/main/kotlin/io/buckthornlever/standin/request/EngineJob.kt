package io.buckthornlever.standin.request

import io.buckthornlever.standin.process.UpstreamCapacity
import java.time.Instant
import java.util.concurrent.LinkedBlockingQueue

/** A request in an engine; its mutable state belongs to the batch scheduler. */
internal class EngineJob(
    val request: CompletionRequest,
    val version: String,
    val slowFactor: Double,
    val arrivedAt: Instant,
    val arrival: Long,
    val capacity: UpstreamCapacity,
) {
    val events = LinkedBlockingQueue<EngineEvent>()
    val prompt: List<String> = TokenText.tokens(request.prompt)
    val resumed: List<String> = request.resumeTokens
    val textKey: Long = TokenText.key(request.prompt, request.seed)

    /** Prompt and answer so far, as the KV cache holds it. */
    val sequence: MutableList<String> = (prompt + resumed.map { it.trim() }).toMutableList()

    var nextIndex: Int = resumed.size
    var generated: Int = 0
    var prefillRemaining: Double = 0.0

    @Volatile
    var prefilled: Int = 0

    @Volatile
    var recomputed: Int = 0
    var decodeCredit: Double = 0.0
    var ended: Boolean = false

    fun execution(
        outcome: EngineOutcome,
        endedAt: Instant,
    ): EngineExecution =
        EngineExecution(
            requestId = request.id,
            version = version,
            path = request.path,
            priority = request.priority,
            promptTokens = prompt.size,
            resumedTokens = resumed.size,
            prefilledTokens = prefilled,
            recomputedTokens = recomputed,
            generatedTokens = generated,
            outcome = outcome,
            arrivedAt = arrivedAt,
            endedAt = endedAt,
        )
}
