package io.buckthornlever.core.request

import io.buckthornlever.api.connection.UpstreamError
import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.request.ExecutionStatus
import io.buckthornlever.api.request.WorkClass
import io.buckthornlever.core.process.RetryBudget
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

internal class RetryMachineTest {
    private val budget = RetryBudget(percent = 20)
    private val broken = UpstreamError.Broken("reset")

    private fun afterFailure(
        work: WorkClass,
        error: UpstreamError,
        budget: RetryBudget = this.budget,
    ): RetryCommand {
        val up = UpstreamId("a")
        val (started, _) = RetryMachine.step(RetryState(work, Long.MAX_VALUE), RetryEvent.Started(up), budget, 0)
        val (failed, _) = RetryMachine.step(started.state, RetryEvent.Failed(up, FailureDomain("z1"), error), budget, 0)
        return failed.commands.single()
    }

    // Guards against a second execution of a call that may have run.
    @Test
    fun `a non-repeatable call is repeated only when no byte was sent`() {
        assertIs<RetryCommand.Dispatch>(afterFailure(WorkClass.NON_REPEATABLE, UpstreamError.NotSent("connect")))
        for (error in listOf(broken, UpstreamError.Refused(503, null))) {
            val fail = assertIs<RetryCommand.Fail>(afterFailure(WorkClass.NON_REPEATABLE, error))
            assertEquals(ExecutionStatus.UNKNOWN, fail.error.executed)
        }
    }

    // Guards against a retry that goes back to the failed upstream or its failure domain.
    @Test
    fun `a retry avoids the failed upstream and domain`() {
        val dispatch = assertIs<RetryCommand.Dispatch>(afterFailure(WorkClass.LOOKUP, broken))
        assertEquals(setOf(UpstreamId("a")), dispatch.exclude)
        assertEquals(setOf(FailureDomain("z1")), dispatch.avoidDomains)
    }

    // Guards against hedges that run work twice or exceed the budget.
    @Test
    fun `only lookups are hedged and only within the budget`() {
        for (work in WorkClass.entries) {
            val started = RetryMachine.step(RetryState(work, Long.MAX_VALUE), RetryEvent.Started(UpstreamId("a")), budget, 0).first
            val (hedged, left) = RetryMachine.step(started.state, RetryEvent.HedgeDue, budget, 0)
            assertEquals(work == WorkClass.LOOKUP, hedged.commands.isNotEmpty())
            assertEquals(work == WorkClass.LOOKUP, left != budget)
            assertTrue(RetryMachine.step(started.state, RetryEvent.HedgeDue, RetryBudget(0), 0).first.commands.isEmpty())
        }
    }

    // Guards against a retry storm: all attempts fail, yet retries stay at the configured share plus the reserve.
    @Test
    fun `retries stay within the budget when every attempt fails`() {
        var left = budget
        var retries = 0
        val requests = 10_000
        repeat(requests) {
            val now = it * 1_000_000L
            left = left.onRequest(now)
            var state = RetryState(WorkClass.LOOKUP, Long.MAX_VALUE)
            var attempt = 0
            while (!state.finished) {
                val up = UpstreamId("u${attempt++}")
                state = RetryMachine.step(state, RetryEvent.Started(up), left, now).first.state
                val (step, after) = RetryMachine.step(state, RetryEvent.Failed(up, FailureDomain("z"), broken), left, now)
                state = step.state
                left = after
            }
            retries += attempt - 1
        }
        assertTrue(retries <= requests / 5 + 4, "retries: $retries")
        assertTrue(retries >= requests / 6, "retries: $retries")
    }
}
