package io.buckthornlever.bench.request

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.request.RequestId
import io.buckthornlever.core.request.StateMachine
import io.buckthornlever.core.request.MigrationEstimate
import io.buckthornlever.core.request.StreamCommand
import io.buckthornlever.core.request.StreamEvent
import io.buckthornlever.core.request.StreamLimits
import io.buckthornlever.core.request.StreamState
import java.util.SplittableRandom

/** Streams on fake engines in simulated time: each engine generates one token per stream in [TOKEN_MILLIS]. */
internal class StreamSimulation(
    private val machine: StateMachine<StreamState, StreamEvent, StreamCommand>,
    seed: Long,
    engines: Int,
    private val domains: Int,
    streams: Int,
    val faults: StreamFaults,
) {
    private class Engine(
        val id: UpstreamId,
        val domain: Int,
    ) {
        var leaving = false
        var alive = true
        val cached = mutableSetOf<RequestId>()
    }

    private class Attempt(
        val id: RequestId,
        val engine: Engine,
        var next: Int,
        var dueAt: Long,
        val silentFrom: Int,
    )

    private class Stream(
        var state: StreamState,
        val total: Int,
    ) {
        var attempt: Attempt? = null
        val received = mutableListOf<String>()
        val timed = mutableListOf<Pair<Long, StreamEvent>>()
        var orderedOpen: Pair<Long, StreamCommand.Open>? = null
        var complete = false
        var lastTokenAt = 0L
        var longestGap = 0L
    }

    private val random = SplittableRandom(seed)
    private val engines = List(engines) { Engine(UpstreamId("engine-$it"), it % domains) }
    private var now = 0L
    private val streams =
        List(streams) {
            val limits = StreamLimits(2_000 * MILLI, PROGRESS_MILLIS * MILLI, PROBE_MILLIS * MILLI, DEADLINE_MILLIS * MILLI)
            Stream(StreamState(RequestId("r$it"), limits, random.nextInt(200, 4_000)), random.nextInt(200, 800))
        }

    /** Context tokens computed, and response tokens generated again, because of a failure or a move. */
    var recomputed: Long = 0
        private set

    /** Healthy engines that a stream reported as dead. */
    var misjudged: Int = 0
        private set
    val count: Int get() = streams.size
    val whole: Int get() = streams.count { it.complete && it.received == List(it.total) { index -> "t$index" } }
    val surplusTokens: Int get() = streams.sumOf { maxOf(0, it.received.size - it.received.distinct().size) }
    val longestGapMillis: Long get() = streams.maxOf { it.longestGap }

    fun run() {
        streams.forEach { feed(it, StreamEvent.Begin) }
        while (now <= DEADLINE_MILLIS + TOKEN_MILLIS) {
            reclaim()
            streams.filter { !it.state.ended }.forEach(::advance)
            now++
        }
    }

    private fun reclaim() {
        val at = faults.reclaimAtMillis ?: return
        val victims = engines.filter { it.domain == 0 }
        if (now == at && faults.noticeMillis > 0) {
            victims.forEach { it.leaving = true }
            val event = { engine: Engine -> StreamEvent.Leaving(engine.id, (at + faults.noticeMillis) * MILLI, ESTIMATE, 0) }
            streams.forEach { stream -> stream.attempt?.engine?.takeIf { it.leaving }?.let { feed(stream, event(it)) } }
        }
        if (now == at + faults.noticeMillis) victims.forEach { it.alive = false }
    }

    private fun advance(stream: Stream) {
        stream.orderedOpen?.takeIf { it.first <= now }?.let { open(stream, it.second) }
        stream.timed.filter { it.first <= now }.forEach { due ->
            stream.timed -= due
            feed(stream, due.second)
        }
        val attempt = stream.attempt
        if (attempt != null && !attempt.engine.alive) {
            stream.attempt = null
            feed(stream, StreamEvent.Broken(attempt.id))
        } else if (attempt != null && attempt.dueAt <= now && attempt.next < attempt.silentFrom) {
            generate(stream, attempt)
        }
        if (now % TICK_MILLIS == 0L) feed(stream, StreamEvent.Tick)
    }

    private fun generate(
        stream: Stream,
        attempt: Attempt,
    ) {
        if (attempt.next >= stream.total) {
            stream.attempt = null
            return feed(stream, StreamEvent.Finished(attempt.id))
        }
        val index = attempt.next++
        attempt.dueAt = now + TOKEN_MILLIS
        if (index < stream.received.size) recomputed++
        feed(stream, StreamEvent.Chunk(attempt.id, attempt.id, index, "t$index"))
    }

    private fun open(
        stream: Stream,
        order: StreamCommand.Open,
    ) {
        stream.orderedOpen = null
        val engine = choose(order) ?: return feed(stream, StreamEvent.NoCandidate(order.attempt))
        val context = stream.state.promptTokens + order.resumeTokens.size
        val cached = !engine.cached.add(stream.state.id)
        val moved = order.kvHandle != null
        val prefill = if (cached || moved) 1L else ESTIMATE.recomputeMillis(context, 0)
        if (stream.state.attempts > 1 && !cached && !moved) recomputed += context
        val silent = faults.silentPercent > 0 && random.nextInt(100) < faults.silentPercent
        val silentFrom = if (silent) order.resumeTokens.size + random.nextInt(1, 200) else Int.MAX_VALUE
        stream.attempt = Attempt(order.attempt, engine, order.resumeTokens.size, now + prefill + TOKEN_MILLIS, silentFrom)
        feed(stream, StreamEvent.Opened(order.attempt, engine.id))
    }

    private fun choose(order: StreamCommand.Open): Engine? {
        val usable = engines.filter { it.alive && !it.leaving }
        usable.find { it.id == order.preferredUpstream }?.let { return it }
        val fresh = usable.filter { it.id !in order.avoidedUpstreams }.ifEmpty { usable }
        return fresh.minByOrNull { engine -> streams.count { it.attempt?.engine === engine } }
    }

    private fun feed(
        stream: Stream,
        event: StreamEvent,
    ) {
        val step = machine.step(stream.state, event, now * MILLI)
        stream.state = step.state
        step.commands.forEach { carryOut(stream, it) }
    }

    private fun carryOut(
        stream: Stream,
        command: StreamCommand,
    ) {
        when (command) {
            is StreamCommand.Open -> stream.orderedOpen = now + command.delayNanos / MILLI to command
            is StreamCommand.Relay -> relay(stream, command)
            is StreamCommand.Complete -> stream.complete = true
            is StreamCommand.Cancel -> stream.attempt = null
            is StreamCommand.Probe -> probe(stream, command.upstream)
            is StreamCommand.ReportDead -> if (engines.first { it.id == command.upstream }.alive) misjudged++
            is StreamCommand.ExportKv -> export(stream)
            is StreamCommand.Fail -> Unit
        }
    }

    private fun relay(
        stream: Stream,
        command: StreamCommand.Relay,
    ) {
        if (stream.received.isNotEmpty()) stream.longestGap = maxOf(stream.longestGap, now - stream.lastTokenAt)
        stream.lastTokenAt = now
        stream.received += command.text
    }

    private fun probe(
        stream: Stream,
        upstream: UpstreamId,
    ) {
        if (engines.first { it.id == upstream }.alive) stream.timed += now + 2 to StreamEvent.Probed(upstream, alive = true)
    }

    private fun export(stream: Stream) {
        val context = stream.state.promptTokens + stream.state.tokens.size
        stream.timed += now + ESTIMATE.transferMillis(context) to StreamEvent.KvExported("kv-${stream.state.id}")
    }

    companion object {
        /** Time to generate one token, in milliseconds. */
        const val TOKEN_MILLIS: Long = 10

        /** Longest accepted silence between tokens, in milliseconds. */
        const val PROGRESS_MILLIS: Long = 500

        /** Time that an engine has to answer a probe, in milliseconds. */
        const val PROBE_MILLIS: Long = 100
        private const val TICK_MILLIS = 10L
        private const val DEADLINE_MILLIS = 30_000L
        private const val MILLI = 1_000_000L
        private val ESTIMATE = MigrationEstimate(100_000, 1_000_000_000, 20, 5_000)
    }
}
