package io.buckthornlever.core.serving

import java.time.Duration

/**
 * What an upstream has said about itself in its responses, for the life of its process: a limit of requests, that it leaves, and until
 * when it wants no requests from this instance. Not thread-safe.
 *
 * After such a pause the upstream is used again gradually: one request first, then two more for each response.
 */
public class UpstreamStatements internal constructor() {
    private var returnCredit = 0
    private var responsesSinceReturn = RESPONSES_TO_RETURN

    /** The limit of requests that it stated last. */
    public var limit: StatedLimit = StatedLimit.None
        private set

    /** Requests per second that it takes from all instances together; null without a limit. */
    public var requestsPerSecond: Double? = null
        private set

    /** Monotonic time at which it first said that it leaves; null if it has not. */
    public var leavingSinceNanos: Long? = null
        private set

    /** Monotonic time until which it wants no requests from this instance; null if it has not asked for that. */
    public var pausedUntilNanos: Long? = null
        private set

    /** Monotonic time at which it asked for its latest pause. */
    public var pauseStatedNanos: Long = 0
        private set

    /** Records the stated [stated] limit; returns true if it differs from the one before. */
    internal fun onLimit(stated: StatedLimit): Boolean {
        if (stated == limit) return false
        limit = stated
        when (stated) {
            StatedLimit.None -> requestsPerSecond = null
            is StatedLimit.PerSecond -> requestsPerSecond = stated.rate
            StatedLimit.Unreadable -> Unit
        }
        return true
    }

    /** Records that it leaves, which it cannot take back; returns true if it has not said so before. */
    internal fun onLeaving(nanos: Long): Boolean {
        if (leavingSinceNanos != null) return false
        leavingSinceNanos = nanos
        return true
    }

    /** Records [pause] and returns the time that counts for it, at most [MAX_PAUSE]; null if it names none. */
    internal fun onPause(
        pause: StatedPause,
        nanos: Long,
    ): Duration? {
        val time =
            when (pause) {
                StatedPause.None -> return null
                is StatedPause.For -> minOf(pause.time, MAX_PAUSE)
                StatedPause.Unreadable -> UNREADABLE_PAUSE
            }
        pausedUntilNanos = maxOf(pausedUntilNanos ?: Long.MIN_VALUE, nanos + time.toNanos())
        pauseStatedNanos = nanos
        returnCredit = 1
        responsesSinceReturn = 0
        return time
    }

    /** True while it wants no requests from this instance. */
    public fun isPaused(nanos: Long): Boolean = pausedUntilNanos?.let { nanos < it } ?: false

    /** False while the request to be sent now would be too much for an upstream that has just returned from a pause. */
    internal fun permitsAfterPause(
        lastSentNanos: Long,
        nanos: Long,
    ): Boolean =
        responsesSinceReturn >= RESPONSES_TO_RETURN || returnCredit > 0 || nanos - lastSentNanos >= RETURN_INTERVAL.toNanos()

    internal fun onSent() {
        returnCredit = maxOf(0, returnCredit - 1)
    }

    /** Records that it responded to a request without asking for a pause. */
    internal fun onResponse(nanos: Long) {
        if (isPaused(nanos) || responsesSinceReturn >= RESPONSES_TO_RETURN) return
        responsesSinceReturn++
        returnCredit += 2
    }

    /** True if something that was said still keeps requests from it. */
    internal fun isBinding(nanos: Long): Boolean = leavingSinceNanos != null || isPaused(nanos)

    private companion object {
        /** Longer pauses count as this one; by then one request shows whether the upstream still asks for it. */
        val MAX_PAUSE: Duration = Duration.ofMinutes(5)

        /** Pause of an upstream that names a time which cannot be read. */
        val UNREADABLE_PAUSE: Duration = Duration.ofSeconds(1)

        /** Responses after a pause from which on the upstream is used like any other. */
        const val RESPONSES_TO_RETURN = 8

        /** Interval at which an upstream that has returned gets a request even if none has been answered. */
        val RETURN_INTERVAL: Duration = Duration.ofMillis(100)
    }
}
