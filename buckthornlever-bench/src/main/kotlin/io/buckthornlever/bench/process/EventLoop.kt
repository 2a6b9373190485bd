package io.buckthornlever.bench.process

import io.buckthornlever.core.process.ManualClock
import java.time.Duration
import java.time.Instant
import java.util.PriorityQueue

/** Runs actions in the order of their times under a manual clock; drives state machines without threads. */
internal class EventLoop(
    val clock: ManualClock = ManualClock(),
) {
    private class Event(
        val at: Instant,
        val number: Long,
        val action: () -> Unit,
    )

    private val events = PriorityQueue(compareBy<Event>({ it.at }, { it.number }))
    private var scheduled = 0L

    /** Runs [action] once [delay] has passed. */
    fun after(
        delay: Duration,
        action: () -> Unit,
    ) {
        events.add(Event(clock.now().plus(delay), scheduled++, action))
    }

    /** Runs [action] every [period], starting after [first]. */
    fun every(
        period: Duration,
        first: Duration = period,
        action: () -> Unit,
    ) {
        after(first) {
            action()
            every(period, period, action)
        }
    }

    /** Runs all events up to [end]. */
    fun runUntil(end: Instant) {
        while (true) {
            val next = events.peek() ?: break
            if (next.at > end) break
            events.poll()
            clock.advance(Duration.between(clock.now(), next.at))
            next.action()
        }
        clock.advance(Duration.between(clock.now(), end))
    }
}
