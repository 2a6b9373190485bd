package io.buckthornlever.bench.request

import io.buckthornlever.api.connection.LoadReport
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.api.request.WorkClass
import java.time.Duration

/** Model engine with slots, a serial prefill stage, a prefix cache in limited memory and a cold phase. */
internal class SimulatedEngine(
    val spec: UpstreamSpec,
    private val settings: EngineSettings,
    private val loop: EventLoop,
    private val ledger: CacheLedger,
) {
    private class Job(
        val call: SimulatedCall,
        val onFirstByte: () -> Unit,
        val onEnd: () -> Unit,
    )

    private val cache = LinkedHashMap<Long, Unit>(16, 0.75f, true)
    private val waiting = ArrayDeque<Job>()
    private val prefill = ArrayDeque<Job>()
    private var running = 0
    private var prefilling = false
    private var coldSince: Long? = null

    /** Receives blocks that have been stored and blocks that have been evicted. */
    var onCacheChange: (stored: List<Long>, evicted: List<Long>) -> Unit = { _, _ -> }

    /** Largest number of requests above the capacity at the moment a request arrived at the cold engine, after the grace. */
    var worstExcess: Int = 0
        private set

    /** Requests that arrived while more ran than the cold engine bears, after the grace. */
    var arrivedInExcess: Int = 0
        private set

    /** Requests that the engine accepted while it was cold, after the grace. */
    var acceptedCold: Int = 0
        private set

    var refusals: Int = 0
        private set

    val inFlight: Int get() = running + waiting.size
    val cold: Boolean get() = coldSince != null && capacity < settings.slots

    /** Requests at once that the engine bears now. */
    val capacity: Int
        get() {
            val since = coldSince ?: return settings.slots
            val part = (loop.nanos - since).toDouble() / settings.warmUp.toNanos()
            return minOf(settings.slots, settings.coldSlots + ((settings.slots - settings.coldSlots) * part).toInt())
        }

    fun becomeCold() {
        coldSince = loop.nanos
        ledger.dropped(cache.keys)
        cache.clear()
    }

    fun report(): LoadReport = LoadReport(running, waiting.size, capacity, cold, false, loop.clock.now().toString())

    /** Accepts [call], or returns false when the engine refuses it before running it. */
    fun submit(
        call: SimulatedCall,
        onFirstByte: () -> Unit,
        onEnd: () -> Unit,
    ): Boolean {
        val checked = cold && loop.nanos - (coldSince ?: 0) >= COLD_GRACE.toNanos()
        if (checked) {
            worstExcess = maxOf(worstExcess, inFlight + 1 - capacity)
            if (inFlight + 1 > capacity) arrivedInExcess++ else acceptedCold++
        }
        if (inFlight >= if (cold) capacity else settings.slots + settings.waitingLimit) {
            refusals++
            return false
        }
        waiting.addLast(Job(call, onFirstByte, onEnd))
        startWaiting()
        return true
    }

    private fun startWaiting() {
        while (running < settings.slots && waiting.isNotEmpty()) {
            val job = waiting.removeFirst()
            running++
            job.call.ran = true
            if (job.call.workClass == WorkClass.LONG) prefill.addLast(job) else prefill.add(firstLong(), job)
        }
        if (!prefilling) prefillNext()
    }

    private fun firstLong(): Int = prefill.indexOfFirst { it.call.workClass == WorkClass.LONG }.let { if (it < 0) prefill.size else it }

    private fun prefillNext() {
        val job = prefill.removeFirstOrNull() ?: return
        prefilling = true
        val tokens = computeTokens(job.call)
        loop.after(Duration.ofNanos(tokens * NANOS_PER_SECOND / settings.prefillTokensPerSecond)) {
            prefilling = false
            job.onFirstByte()
            decode(job)
            prefillNext()
        }
    }

    private fun decode(job: Job) {
        val step = settings.decodeStep.toNanos() * (1 + running.toDouble() / settings.slots)
        loop.after(Duration.ofNanos((job.call.outputTokens * step).toLong())) {
            running--
            job.onEnd()
            startWaiting()
        }
    }

    /** Looks the prompt up in the cache, stores it and returns the tokens that have to be computed. */
    private fun computeTokens(call: SimulatedCall): Long {
        val hits = call.prefix.indexOfFirst { it !in cache }.let { if (it < 0) call.prefix.size else it }
        val missing = call.prefix.drop(hits)
        val tokens = call.promptTokens - hits * BLOCK_TOKENS
        ledger.computed(tokens, missing.count { ledger.isHeld(it) } * BLOCK_TOKENS, call.promptTokens)
        call.prefix.forEach { cache[it] = Unit }
        ledger.stored(missing)
        val evicted = ArrayList<Long>()
        val oldest = cache.keys.iterator()
        while (cache.size - evicted.size > settings.cacheBlocks) evicted.add(oldest.next())
        evicted.forEach { cache.remove(it) }
        ledger.dropped(evicted)
        onCacheChange(missing, evicted)
        return tokens.toLong()
    }

    companion object {
        /** Tokens per prefix block. */
        const val BLOCK_TOKENS: Int = 64

        /** Nobody can know of an unannounced cold start before the next report has arrived. */
        val COLD_GRACE: Duration = Duration.ofSeconds(2)
        private const val NANOS_PER_SECOND = 1_000_000_000L
    }
}
