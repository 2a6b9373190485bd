package io.buckthornlever.core.serving

import java.util.PriorityQueue

/**
 * Engine that reads prompts in turn at a fixed pace, and continues its streams with one token per chunk while it reads and one per
 * step otherwise.
 */
internal class EngineModel(
    private val site: OverloadSite,
) {
    private val prompts = PriorityQueue<Run>(compareBy<Run> { it.urgency }.thenBy { it.sequence })
    private val streams = PriorityQueue<Run>(compareBy { it.endsAtTokens })
    private var tokensPerStream = 0.0

    /** Prompt tokens that wait to be read. */
    var backlog = 0.0
        private set

    val running: Int get() = streams.size

    fun add(run: Run) {
        prompts.add(run)
        backlog += run.tokensLeft
    }

    /** Advances by [millis]; [onFirst] and [onLast] are told of first and last outputs. */
    fun advance(
        now: Long,
        millis: Double,
        onFirst: (Run) -> Unit,
        onLast: (Run) -> Unit,
    ) {
        var budget = millis * site.tokensPerMilli
        while (budget > 0 && prompts.isNotEmpty() && streams.size < site.slots) {
            val run = prompts.peek()
            if (now > run.call.deadlineMillis) {
                prompts.remove()
                backlog -= run.tokensLeft
                continue
            }
            val read = minOf(budget, run.tokensLeft)
            budget -= read
            backlog -= read
            run.tokensLeft -= read
            tokensPerStream += read / site.chunk
            if (run.tokensLeft > 0) break
            prompts.remove()
            run.endsAtTokens = tokensPerStream + run.outputTokens
            streams.add(run)
            onFirst(run)
        }
        tokensPerStream += budget / site.tokensPerMilli / site.stepMillis
        while (streams.isNotEmpty() && streams.peek().endsAtTokens <= tokensPerStream) onLast(streams.remove())
    }

    /** One request at an engine. */
    class Run(
        val call: OverloadCall,
        val urgency: Int,
        val sequence: Long,
        val outputTokens: Int,
    ) {
        var tokensLeft = call.promptTokens.toDouble()
        var endsAtTokens = 0.0
    }
}
