package io.buckthornlever.daemon.request

import io.buckthornlever.api.process.Clock
import io.buckthornlever.gateway.process.EventLog

/** Relays completions; when an upstream fails, another one continues after the tokens already received. */
internal class ModelRelay(
    private val selector: CrashAwareSelector,
    private val attempts: AttemptRunner,
    private val budgets: RetryBudgets,
    private val clock: Clock,
    private val log: EventLog,
) {
    /** Writes the response for [body] to [sink]; returns the outcome label for metrics. */
    fun relay(
        call: ModelCall,
        body: ModelBody,
        sink: ModelSink,
    ): String {
        budgets.onRequest(call.route)
        return StreamRunner(call, body, sink, selector, attempts, budgets, clock, log).run()
    }
}
