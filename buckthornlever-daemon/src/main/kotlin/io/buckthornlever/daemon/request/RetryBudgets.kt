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

/** Retry budget of each route on this instance. */
internal class RetryBudgets(
    private val clock: Clock,
) {
    private val budgets = ConcurrentHashMap<RouteName, RetryBudget>()

    /** Accounts for a new request on [route]. */
    fun onRequest(route: Route) {
        budgets.compute(route.name) { _, old -> current(route, old).onRequest(clock.monotonicNanos()) }
    }

    /** Takes one retry from the budget of [route]; false when it is exhausted. */
    fun tryWithdraw(route: Route): Boolean {
        var allowed = false
        budgets.compute(route.name) { _, old ->
            val after = current(route, old).withdraw(clock.monotonicNanos())
            allowed = after != null
            after ?: current(route, old)
        }
        return allowed
    }

    /** Feeds [event] to the retry decisions of one request. */
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
