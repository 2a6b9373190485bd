package io.buckthornlever.bench.version

import java.time.Duration
import java.time.Instant
import kotlin.math.exp

/** Share of a version's capacity in use, as decaying average of its request rate over five seconds. */
internal class UseMeter {
    private var rate = 0.0
    private var last = Instant.EPOCH

    fun add(now: Instant): Double {
        val seconds = Duration.between(last, now).toNanos() / 1e9
        rate = rate * exp(-seconds / WINDOW_SECONDS) + 1 / WINDOW_SECONDS
        last = now
        return rate / MoveTraffic.CAPACITY
    }

    private companion object {
        const val WINDOW_SECONDS = 5.0
    }
}
