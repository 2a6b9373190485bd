package io.buckthornlever.bench.process.control

import io.buckthornlever.core.process.ManualClock
import java.time.Duration
import java.time.Instant
import java.util.PriorityQueue

/** Actions in the order of their time; the clock moves to each action before it runs. */
internal class EventQueue {
    private class Entry(
        val at: Long,
        val order: Long,
        val action: () -> Unit,
    )

    val clock = ManualClock(Instant.parse("2027-01-01T00:00:00Z"))
    private val entries = PriorityQueue<Entry>(compareBy<Entry> { it.at }.thenBy { it.order })
    private var order = 0L

    fun after(delay: Duration, action: () -> Unit) = afterNanos(delay.toNanos(), action)

    fun afterNanos(nanos: Long, action: () -> Unit) {
        entries.add(Entry(clock.monotonicNanos() + nanos, order++, action))
    }

    fun run(duration: Duration) = runUntil(duration) { false }

    /** Runs until [done] holds after some action or [limit] has passed; returns the time taken. */
    fun runUntil(limit: Duration, done: () -> Boolean): Duration {
        val start = clock.monotonicNanos()
        val end = start + limit.toNanos()
        while (!done()) {
            val next = entries.peek()
            if (next == null || next.at > end) {
                clock.advance(Duration.ofNanos(end - clock.monotonicNanos()))
                break
            }
            entries.poll()
            clock.advance(Duration.ofNanos(next.at - clock.monotonicNanos()))
            next.action()
        }
        return Duration.ofNanos(clock.monotonicNanos() - start)
    }
}
