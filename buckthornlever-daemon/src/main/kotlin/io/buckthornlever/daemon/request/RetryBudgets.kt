package io.buckthornlever.daemon.request

import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.process.Route
import io.buckthornlever.api.process.RouteName
import io.buckthornlever.core.process.RetryBudget
import io.buckthornlever.core.request.RetryCommand
import io.buckthornlever.core.request.RetryEvent
import io.buckthornlever.core.request.RetryMachine
import io.buckthornlever.core.request.RetryState
import io.buckthornlever.core.request.Step
import java.util.concurrent.ConcurrentHashMap

/** Retry budgets of all routes on this instance. */
internal class RetryBudgets(
    private val clock: Clock,
) {
    private val budgets = ConcurrentHashMap<RouteName, RetryBudget>()

    /** Counts a new request on [route], which adds to its budget. */
    fun onRequest(route: Route) {
        budgets.compute(route.name) { _, old -> current(route, old).onRequest(clock.monotonicNanos()) }
    }

    /** Takes one retry from the budget of [route]; returns false when the budget is exhausted. */
    fun tryWithdraw(route: Route): Boolean {
        var allowed = false
        budgets.compute(route.name) { _, old ->
            val after = current(route, old).withdraw(clock.monotonicNanos())
            allowed = after != null
            after ?: current(route, old)
        }
        return allowed
    }

    /** Passes [event] to the retry state machine of one request, with the budget of [route]. */
    fun step(
        route: Route,
        state: RetryState,
        event: RetryEvent,
    ): Step<RetryState, RetryCommand> {
        var result: Step<RetryState, RetryCommand>? = null
        budgets.compute(route.name) { _, old ->
            val (step, after) = RetryMachine.step(state, event, current(route, old), clock.monotonicNanos())
            result = step
            after
        }
        return checkNotNull(result)
    }

    private fun current(
        route: Route,
        old: RetryBudget?,
    ): RetryBudget =
        (old ?: RetryBudget(route.retryBudgetPercent, updatedNanos = clock.monotonicNanos())).copy(percent = route.retryBudgetPercent)
}
