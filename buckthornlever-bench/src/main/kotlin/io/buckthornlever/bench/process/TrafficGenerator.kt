package io.buckthornlever.bench.process

import io.buckthornlever.bench.request.CallKind
import io.buckthornlever.bench.request.CallRecord
import io.buckthornlever.bench.request.Caller
import java.util.SplittableRandom
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit

/** Mixed traffic from a fixed number of callers, spread by chance over the instances that are ready. */
internal class TrafficGenerator(
    private val fixture: SiteFixture,
    private val seed: Long,
    private val callers: Int,
) : AutoCloseable {
    private val records = ConcurrentLinkedQueue<CallRecord>()
    private val caller = Caller(fixture.layout)
    private val threads = (0 until callers).map { Thread({ run(it) }, "caller-$it") }

    @Volatile
    private var stopped = false

    /** Calls that have ended so far. */
    val finished: List<CallRecord> get() = records.toList()

    fun start() {
        threads.forEach { it.start() }
    }

    /** Makes no further calls and waits for the open ones. */
    override fun close() {
        stopped = true
        threads.forEach { it.join(TimeUnit.SECONDS.toMillis(JOIN_SECONDS)) }
    }

    private fun run(number: Int) {
        val random = SplittableRandom(seed * SEED_FACTOR + number)
        while (!stopped) {
            val kind = kinds[random.nextInt(kinds.size)]
            val ready = fixture.daemons.indices.filter { fixture.daemons[it].ready() }
            if (ready.isEmpty()) continue
            val instance = ready[random.nextInt(ready.size)]
            records += caller.call(kind, instance, fixture.daemons[instance].callerUrl, random)
        }
    }

    private companion object {
        const val JOIN_SECONDS = 30L
        const val SEED_FACTOR = 1_000L
        val kinds = listOf(CallKind.LONG_STREAM, CallKind.BRIEF, CallKind.BRIEF, CallKind.LOOKUP, CallKind.LOOKUP, CallKind.NON_REPEATABLE)
    }
}
