package io.buckthornlever.daemon.request

import io.buckthornlever.api.process.Clock
import io.buckthornlever.gateway.process.EventLog

/** Produces completions; when an upstream fails, another one continues after the tokens already received. */
internal class ModelRelay(
    private val access: CrashAwareSelector,
    private val attempts: AttemptRunner,
    private val budgets: RetryBudgets,
    private val clock: Clock,
    private val log: EventLog,
) {
    /** Brings the answer of [body] to [sink]; the returned code is the outcome for metrics. */
    fun relay(
        call: ModelCall,
        body: ModelBody,
        sink: ModelSink,
    ): String {
        budgets.onRequest(call.route)
        return StreamRunner(call, body, sink, access, attempts, budgets, clock, log).run()
    }
}
