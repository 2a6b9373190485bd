package io.buckthornlever.core.serving

import io.buckthornlever.api.serving.RequestKind
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against second runs of requests that run once, and against refusals that untruly say "not run". */
class RecoveryPolicyTest {
    private val ends =
        listOf(AttemptEnd.NotRun("refused"), AttemptEnd.Broken("reset"), AttemptEnd.Failed(500))
    private val routes =
        listOf(
            ServingFixtures.route(RequestKind.SAFE),
            ServingFixtures.route(RequestKind.NON_IDEMPOTENT),
            ServingFixtures.route(RequestKind.STREAM),
            ServingFixtures.route(RequestKind.STREAM, resumable = true),
        )

    @Test
    fun `a request that may have run is never sent again unless it is repeatable`() {
        forEveryCase { route, end, before, next ->
            val mayHaveRun = before.strongerOf(end.proof) != ExecutionProof.NOT_RUN
            if (!route.repeatable && mayHaveRun) assertFalse(next == NextStep.TRY_ANOTHER, "$route $end $before")
        }
    }

    @Test
    fun `not run is said only with proof`() {
        forEveryCase { route, end, before, next ->
            if (next == NextStep.REFUSE_NOT_RUN) assertEquals(ExecutionProof.NOT_RUN, before.strongerOf(end.proof), "$route $end $before")
        }
    }

    @Test
    fun `a refusal after a lost answer does not become not run`() {
        val route = ServingFixtures.route(RequestKind.SAFE)
        val next = RetryPolicy.next(route, AttemptEnd.NotRun("full"), ExecutionProof.MAY_HAVE_RUN, 1, 2, false) { false }
        assertEquals(NextStep.FAIL_UNKNOWN, next)
    }

    @Test
    fun `a started answer is broken off rather than answered again`() {
        val route = ServingFixtures.route(RequestKind.STREAM)
        val next = RetryPolicy.next(route, AttemptEnd.Broken("reset"), ExecutionProof.HAS_RUN, 1, 1, true) { true }
        assertEquals(NextStep.ABORT, next)
    }

    @Test
    fun `runs stay within the attempts of the route`() {
        val route = ServingFixtures.route(RequestKind.SAFE, maxAttempts = 2)
        val next = RetryPolicy.next(route, AttemptEnd.Broken("reset"), ExecutionProof.MAY_HAVE_RUN, 2, 2, false) { true }
        assertEquals(NextStep.FAIL_UNKNOWN, next)
    }

    @Test
    fun `the budget is asked only when another attempt would follow`() {
        var asked = false
        RetryPolicy.next(ServingFixtures.route(RequestKind.NON_IDEMPOTENT), AttemptEnd.Broken("reset"), ExecutionProof.NOT_RUN, 1, 1, false) {
            asked = true
            true
        }
        assertFalse(asked)
    }

    @Test
    fun `a refused request goes to another upstream even on a route with one attempt`() {
        val route = ServingFixtures.route(RequestKind.NON_IDEMPOTENT, maxAttempts = 1)
        assertEquals(NextStep.TRY_ANOTHER, RetryPolicy.next(route, AttemptEnd.NotRun("full"), ExecutionProof.NOT_RUN, 0, 1, false) { true })
    }

    private fun forEveryCase(check: (io.buckthornlever.api.serving.ServedRoute, AttemptEnd, ExecutionProof, NextStep) -> Unit) {
        var cases = 0
        val flags = listOf(false, true)
        val situations = routes.flatMap { route -> ends.flatMap { end -> ExecutionProof.entries.map { Triple(route, end, it) } } }
        val counts = (0..3).flatMap { runs -> (1..4).map { sends -> runs to sends } }
        for ((route, end, before) in situations) {
            for ((runs, sends) in counts) {
                flags.flatMap { started -> flags.map { budget -> started to budget } }.forEach { (started, budget) ->
                    check(route, end, before, RetryPolicy.next(route, end, before, runs, sends, started) { budget })
                    cases++
                }
            }
        }
        assertTrue(cases > 1_000)
    }
}
