package io.buckthornlever.standin.process

import io.buckthornlever.api.process.Clock
import io.buckthornlever.standin.request.EngineEvent
import io.buckthornlever.standin.request.EngineJob
import io.buckthornlever.standin.request.EngineOutcome
import io.buckthornlever.standin.request.PrefixBlocks
import io.buckthornlever.standin.request.TokenText
import java.util.PriorityQueue
import java.util.concurrent.locks.LockSupport
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.math.ceil
import kotlin.math.min

/** Continuous batching: one thread that advances all requests of the batch step by step. */
internal class BatchScheduler(
    private val config: EngineConfig,
    private val cache: PrefixCache,
    private val computed: ComputedBlocks,
    private val kv: KvHandles,
    private val records: EngineRecords,
    private val clock: Clock,
    private val onStart: (EngineJob) -> Unit,
) : AutoCloseable {
    private val lock = ReentrantLock()
    private val arrived = lock.newCondition()
    private val waitingJobs = PriorityQueue(compareBy<EngineJob>({ it.request.priority }, { it.arrival }))
    private val batch = ArrayList<EngineJob>()
    private val endedSequences = LinkedHashMap<String, List<String>>()
    private var closed = false
    private val thread = Thread(::run, "standin-batch").apply { isDaemon = true }

    val running: Int
        get() = lock.withLock { batch.size }

    val waiting: Int
        get() = lock.withLock { waitingJobs.size }

    val inFlight: Int
        get() = lock.withLock { batch.size + waitingJobs.size }

    fun start() {
        if (thread.state == Thread.State.NEW) thread.start()
    }

    fun submit(job: EngineJob) {
        lock.withLock {
            waitingJobs.add(job)
            arrived.signal()
        }
    }

    /** Ends the request with [id]; false when none is in flight. */
    fun end(
        id: String,
        outcome: EngineOutcome,
    ): Boolean =
        lock.withLock {
            val job = find(id) ?: return false
            finish(job, outcome)
            true
        }

    fun end(
        job: EngineJob,
        outcome: EngineOutcome,
    ): Unit = lock.withLock { finish(job, outcome) }

    /** Ends all requests as crashed; [beforeEnd] gets their ids before any of their clients can notice. */
    fun endAll(beforeEnd: (List<String>) -> Unit): Unit =
        lock.withLock {
            val jobs = batch + waitingJobs
            beforeEnd(jobs.map { it.request.id })
            jobs.forEach { finish(it, EngineOutcome.CRASHED) }
            endedSequences.clear()
        }

    /** Prompt and answer so far of the request with [id], in flight or among the last ones that ended. */
    fun sequence(id: String): List<String>? = lock.withLock { find(id)?.sequence?.toList() ?: endedSequences[id] }

    override fun close() {
        lock.withLock {
            closed = true
            arrived.signal()
        }
        LockSupport.unpark(thread)
    }

    private fun find(id: String): EngineJob? = (batch.asSequence() + waitingJobs.asSequence()).firstOrNull { it.request.id == id }

    private fun run() {
        var due = System.nanoTime()
        while (true) {
            val idle = lock.withLock { awaitWork() } ?: return
            if (idle) due = System.nanoTime()
            admit().forEach(onStart)
            val step = lock.withLock { plan() }
            due = maxOf(due, System.nanoTime() - MAX_CATCH_UP_NANOS) + step.nanos
            while (due - System.nanoTime() > 0) LockSupport.parkNanos(due - System.nanoTime())
            lock.withLock { advance(step) }
        }
    }

    /** True when the thread had to wait; null when the scheduler is closed. */
    private fun awaitWork(): Boolean? {
        var waited = false
        while (!closed && batch.isEmpty() && waitingJobs.isEmpty()) {
            waited = true
            arrived.await()
        }
        return if (closed) null else waited
    }

    private fun admit(): List<EngineJob> =
        lock.withLock {
            val started = ArrayList<EngineJob>()
            while (waitingJobs.isNotEmpty() && batch.size < waitingJobs.peek().capacity.limit) {
                val job = waitingJobs.poll()
                prepare(job)
                batch.add(job)
                started.add(job)
            }
            started
        }

    private fun prepare(job: EngineJob) {
        val chain = PrefixBlocks.hashes(job.sequence)
        val fromCache = cache.match(chain) * PrefixBlocks.BLOCK_TOKENS
        val fromHandle = job.request.kvHandle?.let { kv.commonPrefix(it, job.sequence) } ?: 0
        val known = min(maxOf(fromCache, fromHandle), job.sequence.size - 1).coerceAtLeast(0)
        job.prefilled = job.sequence.size - known
        val newBlocks = chain.drop(ceil(known.toDouble() / PrefixBlocks.BLOCK_TOKENS).toInt())
        job.recomputed = newBlocks.count { !computed.add(it) } * PrefixBlocks.BLOCK_TOKENS
        job.prefillRemaining = job.prefilled * job.slowFactor
    }

    private fun plan(): BatchStep {
        var budget = config.prefillTokensPerStep.toDouble()
        val prefill = HashMap<EngineJob, Double>()
        for (job in batch) {
            if (job.prefillRemaining <= 0 || budget <= 0) continue
            val share = min(budget, job.prefillRemaining)
            prefill[job] = share
            budget -= share
        }
        val decoding = batch.filter { it.prefillRemaining <= 0 }
        val decodeMicros =
            if (decoding.isEmpty()) 0 else config.decodeMicrosPerToken + config.decodeMicrosPerSequence * decoding.size
        val prefillMicros = prefill.values.sum() * config.prefillMicrosPerToken
        return BatchStep(prefill, decoding, ((decodeMicros + prefillMicros) * NANOS_PER_MICRO).toLong())
    }

    private fun advance(step: BatchStep) {
        step.prefill.forEach { (job, tokens) ->
            job.prefillRemaining -= tokens
            if (job.prefillRemaining <= 0 && !job.ended) cache.insert(PrefixBlocks.hashes(job.sequence))
        }
        step.decoding.forEach { if (!it.ended) decode(it) }
    }

    private fun decode(job: EngineJob) {
        job.decodeCredit += 1 / job.slowFactor
        while (job.decodeCredit >= 1 - ROUNDING && job.nextIndex < job.request.maxTokens) {
            job.decodeCredit -= 1
            val text = TokenText.token(job.textKey, job.nextIndex)
            job.sequence.add(text.trim())
            job.events.add(EngineEvent.Token(job.nextIndex, text))
            job.nextIndex += 1
            job.generated += 1
        }
        if (job.nextIndex >= job.request.maxTokens) finish(job, EngineOutcome.COMPLETED)
    }

    private fun finish(
        job: EngineJob,
        outcome: EngineOutcome,
    ) {
        if (job.ended) return
        job.ended = true
        val executed = batch.remove(job)
        waitingJobs.remove(job)
        if (executed && job.prefillRemaining <= 0 && outcome != EngineOutcome.CRASHED) storeSequence(job)
        job.capacity.release(outcome == EngineOutcome.COMPLETED)
        records.finished(job.execution(outcome, clock.now()))
        job.events.add(EngineEvent.End(outcome))
    }

    private fun storeSequence(job: EngineJob) {
        val chain = PrefixBlocks.hashes(job.sequence)
        chain.forEach { computed.add(it) }
        cache.insert(chain)
        endedSequences[job.request.id] = job.sequence
        if (endedSequences.size > ENDED_SEQUENCES) endedSequences.remove(endedSequences.keys.first())
    }

    private companion object {
        const val NANOS_PER_MICRO = 1_000

        /** A thread that ran late may shorten later steps by this much, so that the mean pace stays as configured. */
        const val MAX_CATCH_UP_NANOS = 20_000_000L

        /** Ended requests whose KV cache can still be exported. */
        const val ENDED_SEQUENCES = 256
        const val ROUNDING = 1e-9
    }
}
