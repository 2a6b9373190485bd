package io.buckthornlever.core.serving

import java.util.TreeMap
import java.util.TreeSet

/**
 * Decides which accounting windows the holder of the duty lease reports, and when. A window is reported as soon as no instance can add
 * to it any more, which is soon after its end while all instances are in touch. It waits for instances that are not, such as the third
 * of a site that is cut off from the holder for 12 s, until shortly before the report is due. Windows that are overdue, because nobody
 * held the lease or the store was away, are reported late rather than never. Not thread-safe.
 *
 * @param lateMillis time from the end of a window until its report is due; null if it is not known, so that nobody is waited for
 */
public class UsageReportPlan(
    private val windowMillis: Long,
    private val lateMillis: Long?,
) {
    private val reported = TreeSet<Long>()
    private val attempts = TreeMap<Long, Attempts>()

    /** The newest window up to which all are reported, by this instance or earlier holders; null if that is not known. */
    public var reportedThrough: Long? = null
        private set

    /** Records that another instance knows all windows up to [index] to be reported. */
    public fun onReportedThrough(index: Long) {
        reportedThrough = maxOf(reportedThrough ?: index, index)
        advance()
    }

    /** Records that window [index] is reported, or that there is nothing to report for it. */
    public fun onReported(index: Long) {
        reported.add(index)
        attempts.remove(index)
        advance()
    }

    /** Records that an attempt to report window [index] has failed at [nanos]. */
    public fun onFailed(
        index: Long,
        nanos: Long,
    ) {
        val failed = attempts.getOrPut(index) { Attempts() }
        failed.retryAt = nanos + minOf(MIN_RETRY_NANOS shl minOf(failed.count, MAX_DOUBLINGS), MAX_RETRY_NANOS)
        failed.count++
    }

    /** True if window [index] is known to be reported. */
    public fun isReported(index: Long): Boolean = index <= (reportedThrough ?: Long.MIN_VALUE) || index in reported

    /**
     * Windows to report now, the oldest first.
     *
     * @param isFinal whether the counts of all instances for a window are known
     */
    public fun due(
        wallMillis: Long,
        nanos: Long,
        isFinal: (Long) -> Boolean,
    ): List<Long> {
        val newestEnded = Math.floorDiv(wallMillis, windowMillis) - 1
        skipBefore(newestEnded - UsageLedger.RETAINED_WINDOWS)
        val first = (reportedThrough ?: (newestEnded - LOOKBACK_WINDOWS - 1).also { reportedThrough = it }) + 1
        return (first..newestEnded).filter { index ->
            index !in reported && nanos >= (attempts[index]?.retryAt ?: Long.MIN_VALUE) && isDue(index, wallMillis, isFinal)
        }
    }

    /** True if the report of window [index] is or was due at [wallMillis]. */
    public fun isOverdue(
        index: Long,
        wallMillis: Long,
    ): Boolean = lateMillis != null && wallMillis > endOf(index) + lateMillis

    private fun isDue(
        index: Long,
        wallMillis: Long,
        isFinal: (Long) -> Boolean,
    ): Boolean {
        val waitsUntil = endOf(index) + if (lateMillis == null) SETTLING_MILLIS else maxOf(SETTLING_MILLIS, lateMillis - MARGIN_MILLIS)
        return wallMillis >= waitsUntil || isFinal(index)
    }

    private fun endOf(index: Long): Long = (index + 1) * windowMillis

    /** Gives up the windows before [index], whose counts nobody keeps. */
    private fun skipBefore(index: Long) {
        if ((reportedThrough ?: return) < index - 1) onReportedThrough(index - 1)
    }

    private fun advance() {
        var through = reportedThrough ?: return
        while (reported.remove(through + 1)) through++
        reportedThrough = through
        reported.headSet(through, true).clear()
        attempts.headMap(through, true).clear()
    }

    private class Attempts {
        var count = 0
        var retryAt = Long.MIN_VALUE
    }

    private companion object {
        /** Windows before the newest one that a holder reports which knows of no earlier report. */
        const val LOOKBACK_WINDOWS = 3L

        /** Delay after the end of a window before it is reported if it is not known when the report is due. */
        const val SETTLING_MILLIS = 1_500L

        /**
         * Time before a report is due at which instances are no longer waited for: one tick of the gateway and two short calls, and as
         * much again. A longer one misses more counts of instances that come back just before.
         */
        const val MARGIN_MILLIS = 450L

        /** Pause after a failed attempt; doubles with each further one, since each call to the store has a cost. */
        const val MIN_RETRY_NANOS = 200_000_000L
        const val MAX_RETRY_NANOS = 800_000_000L
        const val MAX_DOUBLINGS = 4
    }
}
