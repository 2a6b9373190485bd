package io.buckthornlever.gateway.process

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.process.Clock
import io.buckthornlever.core.serving.EndedProcessUsage
import io.buckthornlever.core.serving.UsageLedger

/** Converts the counts of a [ledger] to and from what instances tell each other. */
internal class UsageExchange(
    private val ledger: UsageLedger,
    private val clock: Clock,
    metrics: GatewayMetrics,
) {
    private var endedSentAt = Long.MIN_VALUE / 2
    private var hasEnded = false

    init {
        metrics.registerGauge("buckthornlever_usage_counts_ignored", "Usage counts of other instances ignored since these told too many") {
            ledger.ignoredCount.toDouble()
        }
    }

    /** First window whose counts of this instance may still rise. */
    val firstOpenWindow: Long get() = if (hasEnded) Long.MAX_VALUE else ledger.firstOpenWindow(clock.now().toEpochMilli())

    /** Records that this process will serve no more requests. */
    fun onEnded() {
        hasEnded = true
    }

    /** Counts of this instance that are not reported, as far as it knows. */
    fun ownWindows(reportedThrough: Long?): Map<Long, Map<String, Long>> = toMessage(ledger.unreportedWindows(reportedThrough))

    /** Records the counts that [sender] has told. */
    fun record(
        sender: String,
        incarnation: Long,
        windows: Map<Long, Map<String, Long>>,
        firstOpenWindow: Long?,
    ): Unit = ledger.updatePeer(sender, incarnation, fromMessage(windows), firstOpenWindow)

    /** Records the counts of processes that have [ended]. */
    fun recordEnded(ended: List<PeerMessage.EndedProcess>): Unit =
        ended.forEach { ledger.onEnded(EndedProcessUsage(it.instance, it.incarnation, fromMessage(it.windows))) }

    /**
     * Unreported counts of processes that have ended, in parts that fit into a datagram each; empty if they were told less than
     * [ENDED_INTERVAL_NANOS] ago and [isLast] is false.
     */
    fun endedProcesses(
        reportedThrough: Long?,
        live: Set<String>,
        isLast: Boolean,
    ): List<List<PeerMessage.EndedProcess>> {
        val now = clock.monotonicNanos()
        if (!isLast && now - endedSentAt < ENDED_INTERVAL_NANOS) return emptyList()
        endedSentAt = now
        return ledger
            .endedProcesses(reportedThrough, live)
            .map { PeerMessage.EndedProcess(it.instance, it.incarnation, toMessage(it.windows)) }
            .chunked(ENDED_PER_DATAGRAM)
    }

    private fun toMessage(windows: Map<Long, Map<AccountId, Long>>): Map<Long, Map<String, Long>> =
        windows.mapValues { (_, counts) -> counts.mapKeys { it.key.value } }

    private fun fromMessage(windows: Map<Long, Map<String, Long>>): Map<Long, Map<AccountId, Long>> =
        windows.mapValues { (_, counts) -> counts.mapKeys { AccountId(it.key) } }

    private companion object {
        /** With 12 windows of 16 accounts each, the largest number of entries that fits. */
        const val ENDED_PER_DATAGRAM = 15

        /** Counts of an ended process do not change; while all instances are restarted in turn there are many of them. */
        const val ENDED_INTERVAL_NANOS = 1_000_000_000L
    }
}
