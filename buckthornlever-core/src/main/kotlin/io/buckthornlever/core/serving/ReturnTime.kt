package io.buckthornlever.core.serving

import java.time.Duration

/**
 * Time after which the caller of a refused request should return. Callers return once and wait for at most a third of their time
 * left. In a burst some hundred requests a second are refused, which would meet the same burst again if all returned at once.
 */
public object ReturnTime {
    /**
     * Returns the time, or null if the request could not be served after it.
     *
     * @param timeLeft time until the deadline of the request
     * @param timeToSend time until it has to be sent so that it is on time; not positive if it would be late in any case
     * @param workTime time that it needs once it has its turn
     * @param excessWait time that the service needs to work off the wait that is in the way
     * @param position place of the request among those that return, in 0..1; higher ones return later
     */
    public fun of(
        timeLeft: Duration,
        timeToSend: Duration,
        workTime: Duration,
        excessWait: Duration,
        position: Double,
    ): Duration? {
        val latest = minOf(timeLeft.dividedBy(LONGEST_WAIT_DIVISOR), timeLeft.minus(workTime))
        if (latest < MIN_WAIT) return null
        val longest = if (timeToSend >= MIN_WAIT) minOf(latest, timeToSend) else latest
        val earliest = excessWait.coerceIn(MIN_WAIT, longest)
        return earliest.plus(Duration.ofNanos((longest.minus(earliest).toNanos() * position.coerceIn(0.0, 1.0)).toLong()))
    }

    /** Callers wait for at most this part of their time left. */
    private const val LONGEST_WAIT_DIVISOR = 3L

    /** Shorter waits only repeat the refusal, since load figures change no faster. */
    private val MIN_WAIT: Duration = Duration.ofMillis(100)
}
