package io.buckthornlever.core.serving

import io.buckthornlever.api.serving.CrashSighting
import io.buckthornlever.api.serving.SuspectEvidence

/** A prompt part that may crash upstreams, with the crashes since its last output. */
internal class SuspectPart {
    private val crashes = ArrayList<CrashSighting>()

    /** Time of the last known output in milliseconds since the epoch; null if none is known. */
    var lastOutputMillis: Long? = null
        private set

    /** Revision of the tracker with the last change, from whichever instance it came. */
    var changedAt = 0L

    /** Revision of the tracker with the last change that this instance observed itself. */
    var observedAt = 0L

    val crashCount: Int get() = crashes.size
    val hasHadOutput: Boolean get() = lastOutputMillis != null

    /** Unexplained crashes after which the part is blocked; more for a part with output, which is less likely to be the cause. */
    val blockThreshold: Int get() = if (hasHadOutput) THRESHOLD_AFTER_OUTPUT else THRESHOLD

    /** Records output at [millis], which clears the part of all crashes before; returns true if there was one. */
    fun clear(millis: Long): Boolean {
        lastOutputMillis = maxOf(lastOutputMillis ?: millis, millis)
        return crashes.removeIf { it.atMillis <= millis }
    }

    /** Adds [evidence]; returns true if any of it was new. */
    fun merge(evidence: SuspectEvidence): Boolean {
        var changed = false
        val output = evidence.lastOutputMillis
        if (output != null && output > (lastOutputMillis ?: Long.MIN_VALUE)) {
            changed = lastOutputMillis == null
            if (clear(output)) changed = true
        }
        for (crash in evidence.crashes) if (add(crash)) changed = true
        return changed
    }

    /** Drops crashes before [oldest] and after [newest]. */
    fun expire(
        oldest: Long,
        newest: Long,
    ) {
        crashes.removeIf { it.atMillis < oldest || it.atMillis > newest }
    }

    fun hasSeen(crash: CrashSighting): Boolean = crashes.any { it.isSameCrash(crash) }

    /** Crashes that none of [causes] explains. */
    fun unexplainedCrashes(causes: Collection<SuspectPart>): List<CrashSighting> =
        crashes.filter { crash -> causes.none { it.hasSeen(crash) } }

    /**
     * Number of crashes that none of [causes] explains; 0 if only one upstream crashed, whose own fault it may be. Upstreams that
     * crash at the same moment count once, since a common cause such as the loss of a failure domain ends many innocent runs.
     */
    fun unexplainedCrashCount(causes: Collection<SuspectPart>): Int {
        val unexplained = unexplainedCrashes(causes).sortedBy { it.atMillis }
        if (unexplained.distinctBy { it.upstream }.size < 2) return 0
        var count = 0
        var last = Long.MIN_VALUE / 2
        for (crash in unexplained) {
            if (crash.atMillis - last < SAME_MOMENT_MILLIS) continue
            last = crash.atMillis
            count++
        }
        return count
    }

    fun toEvidence(): SuspectEvidence = SuspectEvidence(crashes.toSet(), lastOutputMillis)

    private fun add(crash: CrashSighting): Boolean {
        if (crash.atMillis <= (lastOutputMillis ?: Long.MIN_VALUE) || hasSeen(crash)) return false
        crashes.add(crash)
        if (crashes.size > MAX_CRASHES) crashes.remove(crashes.minBy { it.atMillis })
        return true
    }

    private companion object {
        const val THRESHOLD = 3
        const val THRESHOLD_AFTER_OUTPUT = 5
        const val MAX_CRASHES = 16
        const val SAME_MOMENT_MILLIS = 50L
    }
}
