package io.buckthornlever.bench.request

import io.buckthornlever.core.process.ManualClock
import java.time.Duration
import java.util.PriorityQueue

/** Runs actions in the order of their times under a manual clock; equal times run in the order of scheduling. */
internal class EventLoop(
    val clock: ManualClock = ManualClock(),
) {
    private class Event(
        val at: Long,
        val serial: Long,
        val action: () -> Unit,
    )

    private val events = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.serial })
    private var serial = 0L

    val nanos: Long get() = clock.monotonicNanos()

    fun after(
        delay: Duration,
        action: () -> Unit,
    ) {
        events.add(Event(nanos + delay.toNanos(), serial++, action))
    }

    /** Runs [action] every [period], first after [offset]. */
    fun every(
        period: Duration,
        offset: Duration,
        action: () -> Unit,
    ) {
        after(offset) {
            action()
            every(period, period, action)
        }
    }

    /** Runs all events up to [end] after the start of the clock. */
    fun runUntil(end: Duration) {
        while (events.isNotEmpty() && events.peek().at <= end.toNanos()) {
            val event = events.poll()
            clock.advance(Duration.ofNanos(event.at - nanos))
            event.action()
        }
        clock.advance(end.minusNanos(nanos))
    }
}
