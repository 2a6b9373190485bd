package io.buckthornlever.core.request

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.request.RequestId
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

internal class StreamMachineTest {
    private val limits = StreamLimits(firstTokenNanos = 100, progressNanos = 10, probeNanos = 5, deadlineNanos = 100_000_000_000)
    private val a = UpstreamId("a")
    private val b = UpstreamId("b")

    private fun run(
        events: List<StreamEvent>,
        state: StreamState = StreamState(RequestId("r"), limits, promptTokens = 100),
        now: Long = 0,
    ): Step<StreamState, StreamCommand> =
        events.fold(Step(state, emptyList())) { step, event ->
            val next = StreamMachine.step(step.state, event, now)
            Step(next.state, step.commands + next.commands)
        }

    private fun started(tokens: Int): List<StreamEvent> =
        listOf(StreamEvent.Begin, StreamEvent.Opened(RequestId("r.1"), a)) + (0 until tokens).map { chunk(1, it) }

    private fun chunk(
        attempt: Int,
        index: Int,
        id: String = "r.$attempt",
    ) = StreamEvent.Chunk(RequestId("r.$attempt"), RequestId(id), index, "t$index")

    private fun relayed(step: Step<StreamState, StreamCommand>) = step.commands.filterIsInstance<StreamCommand.Relay>().map { it.index }

    // Guards against a restart from the beginning, which repeats tokens to the caller.
    @Test
    fun `a broken stream resumes on another upstream after the tokens already sent`() {
        val step = run(started(3) + StreamEvent.Broken(RequestId("r.1")))
        val open = assertIs<StreamCommand.Open>(step.commands.last())
        assertEquals(listOf("t0", "t1", "t2"), open.resumeTokens)
        assertEquals(setOf(a), open.avoidedUpstreams)
        val rest = listOf(StreamEvent.Opened(RequestId("r.2"), b), chunk(2, 3), StreamEvent.Finished(RequestId("r.2")))
        val whole = run(started(3) + StreamEvent.Broken(RequestId("r.1")) + rest)
        assertEquals(listOf(0, 1, 2, 3), relayed(whole))
        assertEquals(StreamCommand.Complete, whole.commands.last())
    }

    // Guards against tokens of another request or a gap reaching the caller.
    @Test
    fun `a foreign chunk or a gap is dropped and fails the attempt`() {
        for (bad in listOf(chunk(1, 3, id = "other"), chunk(1, 4))) {
            val step = run(started(3) + bad)
            assertEquals(listOf(0, 1, 2), relayed(step))
            assertEquals(StreamCommand.Cancel(RequestId("r.1")), step.commands[step.commands.size - 2])
            assertIs<StreamCommand.Open>(step.commands.last())
        }
    }

    // Guards against a healthy upstream being judged by one silent connection, and against waiting on it forever.
    @Test
    fun `a silent connection leads to a probe, then a new connection, then another upstream`() {
        val silent = StreamMachine.step(run(started(1)).state, StreamEvent.Tick, 10)
        assertEquals(listOf<StreamCommand>(StreamCommand.Probe(a)), silent.commands)
        val again = StreamMachine.step(silent.state, StreamEvent.Probed(a, alive = true), 11)
        assertEquals(a, assertIs<StreamCommand.Open>(again.commands.last()).preferredUpstream)
        val reopened = run(listOf(StreamEvent.Opened(RequestId("r.2"), a), chunk(2, 1)), again.state, 12).state
        val second = StreamMachine.step(reopened, StreamEvent.Tick, 22).state
        val moved = StreamMachine.step(second, StreamEvent.Probed(a, alive = true), 23)
        assertEquals(setOf(a), assertIs<StreamCommand.Open>(moved.commands.last()).avoidedUpstreams)
        val dead = StreamMachine.step(silent.state, StreamEvent.Tick, 15)
        assertTrue(StreamCommand.ReportDead(a) in dead.commands)
    }

    // Guards against the dearer way of moving a stream and against an export that outlasts the notice.
    @Test
    fun `a notice moves the stream in the cheaper way shortly before the end`() {
        val end = 10_000_000_000L
        val fastKv = MigrationEstimate(1_000, 1_000_000, 1, 100)
        val slowKv = MigrationEstimate(100_000, 1_000_000, 1, 100)
        for ((estimate, transfers) in listOf(fastKv to true, slowKv to false)) {
            val stream = StreamState(RequestId("r"), limits.copy(progressNanos = end), promptTokens = 100)
            val noted = run(started(2) + StreamEvent.Leaving(a, end, estimate, 0), stream)
            assertEquals(listOf(0, 1), relayed(noted))
            assertTrue(noted.commands.none { it is StreamCommand.ExportKv || it is StreamCommand.Cancel })
            val due = StreamMachine.step(noted.state, StreamEvent.Tick, end - StreamMachine.MOVE_MARGIN_NANOS)
            assertEquals(transfers, due.commands.single { it !is StreamCommand.Open } is StreamCommand.ExportKv)
            if (transfers) assertEquals("kv", handle(due.state))
        }
    }

    private fun handle(state: StreamState) =
        assertIs<StreamCommand.Open>(StreamMachine.step(state, StreamEvent.KvExported("kv"), 0).commands.last()).kvHandle

    // Guards against repeated or lost tokens after a caller's reconnect to an instance that never saw the stream.
    @Test
    fun `a reconnect regenerates silently up to the position of the caller`() {
        val position = StreamPosition.parse("r:1")!!
        val state = StreamState(RequestId("r"), limits, promptTokens = 100, relayIndex = position.tokenIndex + 1)
        assertEquals(listOf(2), relayed(run(started(3), state)))
        assertNull(StreamPosition.parse("r"))
        assertNull(StreamPosition.parse(":1"))
    }

    // Guards against a request that fails although an upstream becomes available before the deadline.
    @Test
    fun `a stream without a candidate waits for one`() {
        val step = run(started(1) + StreamEvent.Broken(RequestId("r.1")) + StreamEvent.NoCandidate(RequestId("r.2")))
        val open = assertIs<StreamCommand.Open>(step.commands.last())
        assertEquals(StreamMachine.BACKOFF_NANOS, open.delayNanos)
        assertEquals(emptySet(), open.avoidedUpstreams)
    }

    // Guards against lost, repeated or reordered tokens under any sequence of faults.
    @Property(seed = "4", tries = 2_000)
    fun `the caller gets each token once and in order`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        var state = StreamMachine.step(StreamState(RequestId("r"), limits, promptTokens = 100), StreamEvent.Begin, 0).state
        val relayed = mutableListOf<String>()
        var now = 0L
        repeat(300) {
            now += random.nextLong(8)
            val step = StreamMachine.step(state, randomEvent(random, state), now)
            state = step.state
            relayed += step.commands.filterIsInstance<StreamCommand.Relay>().map { it.text }
        }
        assertEquals(List(relayed.size) { "t$it" }, relayed)
        if (state.phase == StreamPhase.COMPLETE) assertEquals(state.tokens.size, relayed.size)
    }

    private fun randomEvent(
        random: Random,
        state: StreamState,
    ): StreamEvent {
        val attempt = RequestId("r.${maxOf(1, state.attempts - random.nextInt(2))}")
        val upstream = if (random.nextBoolean()) a else b
        val index = state.tokens.size
        return when (random.nextInt(20)) {
            0 -> StreamEvent.Broken(attempt)
            1 -> StreamEvent.Chunk(attempt, RequestId("x"), index, "foreign")
            2 -> StreamEvent.Chunk(attempt, attempt, index + 1, "t${index + 1}")
            3 -> StreamEvent.Chunk(attempt, attempt, maxOf(0, index - 1), "t${maxOf(0, index - 1)}")
            4 -> StreamEvent.Probed(upstream, random.nextBoolean())
            5 -> StreamEvent.NoCandidate(attempt)
            6 -> StreamEvent.KvExported("kv")
            7, 8 -> StreamEvent.Tick
            9, 10 -> StreamEvent.Opened(attempt, upstream)
            else -> StreamEvent.Chunk(attempt, attempt, index, "t$index")
        }
    }
}
