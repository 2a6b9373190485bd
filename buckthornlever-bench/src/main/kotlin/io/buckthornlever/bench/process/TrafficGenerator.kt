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
            val instance = pick(random) ?: continue
            val record = caller.call(kind, instance, fixture.daemons[instance].callerUrl, random)
            records += record
            if (kind == CallKind.NON_REPEATABLE && !record.whole) resend(record, random)
        }
    }

    // Callers repeat a call whose outcome they do not know, through whichever instance the balancer gives them.
    private fun resend(
        record: CallRecord,
        random: SplittableRandom,
    ) {
        repeat(RESENDS) {
            val instance = pick(random) ?: return
            val again = caller.resend(record, instance, fixture.daemons[instance].callerUrl, random)
            records += again
            if (again.whole) return
        }
    }

    private fun pick(random: SplittableRandom): Int? {
        val ready = fixture.daemons.indices.filter { fixture.daemons[it].isReady() }
        return if (ready.isEmpty()) null else ready[random.nextInt(ready.size)]
    }

    private companion object {
        const val RESENDS = 2
        const val JOIN_SECONDS = 30L
        const val SEED_FACTOR = 1_000L
        val kinds = listOf(CallKind.LONG_STREAM, CallKind.BRIEF, CallKind.BRIEF, CallKind.LOOKUP, CallKind.LOOKUP, CallKind.NON_REPEATABLE)
    }
}
