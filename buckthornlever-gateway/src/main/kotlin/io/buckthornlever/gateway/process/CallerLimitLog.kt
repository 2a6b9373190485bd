package io.buckthornlever.gateway.process

import io.buckthornlever.api.process.Clock
import io.buckthornlever.core.serving.CallerRefusal
import io.buckthornlever.gateway.connection.CallerLimitObserver

/** Counts what the limits on callers do, and logs at most one line a second for each reason: callers decide how often it happens. */
internal class CallerLimitLog(
    private val clock: Clock,
    private val metrics: GatewayMetrics,
    private val log: EventLog,
    private val heldBytes: () -> Long,
) : CallerLimitObserver {
    private val counts = LongArray(CallerRefusal.entries.size)
    private val loggedAt = LongArray(CallerRefusal.entries.size) { NEVER }
    private var failureLoggedAt = NEVER

    override fun onRefused(reason: CallerRefusal) {
        metrics.recordCallerLimit(reason)
        counts[reason.ordinal]++
        val now = clock.monotonicNanos()
        if (!isDue(loggedAt[reason.ordinal], now)) return
        loggedAt[reason.ordinal] = now
        log.write(
            GatewayEvent.CALLER_LIMIT_REACHED,
            "reason" to reason,
            "total" to counts[reason.ordinal],
            "heldBytes" to heldBytes(),
        )
    }

    override fun onConnectionFailed(cause: Throwable) {
        val now = clock.monotonicNanos()
        if (!isDue(failureLoggedAt, now)) return
        failureLoggedAt = now
        log.writeFailure(GatewayEvent.INTERNAL_ERROR, cause)
    }

    private fun isDue(
        lastNanos: Long,
        nowNanos: Long,
    ) = lastNanos == NEVER || nowNanos - lastNanos >= INTERVAL_NANOS

    private companion object {
        const val NEVER = Long.MIN_VALUE
        const val INTERVAL_NANOS = 1_000_000_000L
    }
}
