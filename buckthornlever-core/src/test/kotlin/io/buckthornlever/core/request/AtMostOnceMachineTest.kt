package io.buckthornlever.core.request

import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.process.StoreError
import io.buckthornlever.api.request.ErrorCode
import io.buckthornlever.api.request.ExecutionStatus
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

internal class AtMostOnceMachineTest {
    private fun run(
        world: AtMostOnceModel,
        vararg choices: AtMostOnceModel.Choice,
    ): AtMostOnceModel = choices.fold(world) { at, choice -> at.apply(choice) }

    private fun act(
        index: Int,
        how: AtMostOnceModel.How = AtMostOnceModel.How.OK,
    ) = AtMostOnceModel.Choice.Act(index, how)

    private fun submit(body: String = "a") = AtMostOnceModel.Choice.Submit(body)

    private fun refusal(
        world: AtMostOnceModel,
        index: Int,
    ) = assertIs<AtMostOnceCommand.Refuse>(world.submissions[index].reply).error

    // Guards against a second execution of a completed call and against a replay for another body.
    @Test
    fun `a known outcome is replayed to the same body and another body is a conflict`() {
        val done = run(AtMostOnceModel(), submit(), act(0), act(0), act(0))
        val again = run(done, submit(), act(1), act(1), submit("b"), act(2), act(2))
        assertEquals(AtMostOnceCommand.Reply(AtMostOnceModel.OUTCOME, replayed = true), again.submissions[1].reply)
        assertEquals(ErrorCode.KEY_CONFLICT, refusal(again, 2).code)
        assertEquals(1, again.executions.size)
    }

    // Guards against a refusal of a call whose record was written although the answer was lost.
    @Test
    fun `a lost create is resolved by the token`() {
        val world = run(AtMostOnceModel(), submit(), act(0, AtMostOnceModel.How.LOST_AFTER_EFFECT), act(0), act(0))
        assertEquals(AtMostOnceCommand.Reply(AtMostOnceModel.OUTCOME, replayed = false), world.submissions[0].reply)
    }

    // Guards against a call that runs without a record, and against a key that stays blocked after a refusal.
    @Test
    fun `an outage refuses as not run and leaves the key usable`() {
        val refused = run(AtMostOnceModel(), submit(), act(0, AtMostOnceModel.How.UNAVAILABLE))
        assertEquals(ErrorCode.STORE_UNAVAILABLE, refusal(refused, 0).code)
        assertEquals(ExecutionStatus.NOT_RUN, refusal(refused, 0).executed)
        val lost = listOf(act(0, AtMostOnceModel.How.LOST_AFTER_EFFECT)) + List(3) { listOf(act(0, AtMostOnceModel.How.UNAVAILABLE), act(0)) }.flatten()
        val released = run(AtMostOnceModel(), submit(), *lost.toTypedArray(), act(0))
        assertEquals(ExecutionStatus.NOT_RUN, refusal(released, 0).executed)
        assertEquals(null, released.record)
        assertEquals(0, released.executions.size)
    }

    // Guards against "not run" for a key whose record exists and may belong to a call that ran.
    @Test
    fun `after a conflict an unreadable record is answered as unknown`() {
        val first = run(AtMostOnceModel(), submit(), act(0), act(0, AtMostOnceModel.How.RAN_AND_LOST), act(0), submit(), act(1))
        val failed = List(3) { listOf(act(1, AtMostOnceModel.How.UNAVAILABLE), act(1)) }.flatten().dropLast(1)
        assertEquals(ExecutionStatus.UNKNOWN, refusal(run(first, *failed.toTypedArray()), 1).executed)
    }

    // Guards against a call sent after so long a pause that its record may have expired and been replaced.
    @Test
    fun `a paused writer does not send`() {
        val world = run(AtMostOnceModel(), submit(), AtMostOnceModel.Choice.Pass, act(0))
        assertEquals(ExecutionStatus.NOT_RUN, refusal(world, 0).executed)
    }

    // Guards against an expired record that blocks its key, and against two submissions that both replace it.
    @Test
    fun `an expired record is replaced by one submission`() {
        val old = AtMostOnceRecord("t-old", "b", createdAtMillis = -AtMostOnceMachine.RECORD_TTL_MILLIS - 1)
        val both = run(AtMostOnceModel(record = old, version = 7), submit(), submit(), act(0), act(0), act(1), act(1))
        val world = run(both, act(0), act(1), act(0), act(1), act(0), act(1), act(1))
        assertEquals(listOf("t0"), world.executions)
        assertEquals(AtMostOnceCommand.Reply(AtMostOnceModel.OUTCOME, replayed = true), world.submissions[1].reply)
    }

    // Guards against a lost answer that exceeds the store's limit being replayed as an empty one.
    @Test
    fun `an outcome too large for the store is recorded without its body`() {
        val call = run(AtMostOnceModel(), submit(), act(0), act(0)).submissions[0].call
        val small = AtMostOnceMachine.step(call, AtMostOnceEvent.StoreFailed(StoreError.TooLarge), 0).state
        val read = AtMostOnceEvent.Read(AtMostOnceRecord("t0", "a", 0), ObjectVersion(1))
        val replace = assertIs<AtMostOnceCommand.Replace>(AtMostOnceMachine.step(small, read, 0).commands.single())
        assertEquals(null, replace.record.outcome?.bodyBase64)
    }

    // Guards against any interleaving of three submissions with up to two faults that runs twice or refuses falsely.
    @Test
    fun `exhaustive enumeration finds no duplicate and no false not-run`() {
        val seen = HashSet<AtMostOnceModel>()
        var frontier = listOf(AtMostOnceModel())
        repeat(DEPTH) {
            frontier = frontier.flatMap { world -> world.choices(3, 2).map(world::apply) }.filter(seen::add)
            frontier.forEach { assertTrue(it.violations().isEmpty(), "${it.violations()}: $it") }
        }
        assertTrue(seen.size > 10_000, "only ${seen.size} states")
        println("exhaustive enumeration: ${seen.size} states")
    }

    // Guards against longer interleavings of up to five submissions with up to eight faults.
    @Property(seed = "3", tries = 20_000)
    fun `random interleavings find no duplicate and no false not-run`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        var world = AtMostOnceModel()
        repeat(60) {
            val choice = world.choices(5, 8).randomOrNull(random) ?: return
            world = world.apply(choice)
            assertTrue(world.violations().isEmpty(), "${world.violations()}: $world")
        }
    }

    private companion object {
        const val DEPTH = 10
    }
}
