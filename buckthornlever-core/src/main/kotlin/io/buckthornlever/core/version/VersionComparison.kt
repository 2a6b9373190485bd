package io.buckthornlever.core.version

import io.buckthornlever.api.process.RouteName
import java.util.TreeMap

/**
 * Compares the new version with the old one on the merged evidence: error rate and latency quantiles, per route and over all routes.
 * The latency of the new version under load is compared only with the old version's latency under load. For each window length the
 * evidence is accumulated from the oldest window on and reset to zero whenever it becomes negative (Page's CUSUM test), so that a
 * fault that starts late is detected as fast as one that is present from the beginning.
 */
internal class VersionComparison(
    private val totals: Map<EvidenceKey, EvidenceCounters>,
) {
    private val baselines = HashMap<Pair<RouteName, Boolean>, Baseline>()
    private var newAttempts = 0
    private var oldAttempts = 0

    fun assess(): Assessment {
        collectBaselines()
        var worst = Assessment.NONE
        var good = false
        EvidenceWindows.LENGTHS_SECONDS.forEach { lengthSeconds ->
            val scores = TestScores()
            evidenceByWindow(lengthSeconds).values.forEach { scores.add(it) }
            scores.strongestEvidence()?.takeIf { it.second > worst.badScore }?.let { (test, score) ->
                worst = worst.copy(badScore = score, worstTest = "$test in windows of $lengthSeconds s")
            }
            if (lengthSeconds == EvidenceWindows.LENGTHS_SECONDS.last()) good = scores.isProvenGood(baselines.values.any { it.hasLatency })
        }
        return worst.copy(isProvenGood = good, newAttempts = newAttempts, oldAttempts = oldAttempts)
    }

    /** Evidence per route and test in each window of [lengthSeconds], oldest window first. */
    private fun evidenceByWindow(lengthSeconds: Int): Map<Int, Map<RouteName, DoubleArray>> {
        val windows = TreeMap<Int, HashMap<RouteName, DoubleArray>>()
        totals.forEach { (key, counters) ->
            if (!key.isNewVersion || key.window.lengthSeconds != lengthSeconds) return@forEach
            val scores = windows.getOrPut(key.window.index) { HashMap() }.getOrPut(key.route) { DoubleArray(TestScores.TEST_COUNT) }
            addEvidence(key, counters, scores)
        }
        return windows
    }

    private fun addEvidence(
        key: EvidenceKey,
        new: EvidenceCounters,
        scores: DoubleArray,
    ) {
        val old = totals[key.copy(isNewVersion = false)]
        val oldInOtherLoadState = totals[key.copy(isNewVersion = false, underLoad = !key.underLoad)]
        val baseline = baselines[key.route to key.underLoad]
        val otherLoadBaseline = baselines[key.route to !key.underLoad]
        // During a move the old version is usually under load and the new one is not, so errors are compared across load states.
        scores[0] += (baseline ?: otherLoadBaseline ?: EMPTY_BASELINE).errorEvidence(new, listOfNotNull(old, oldInOtherLoadState))
        // The new version without load must not be slower than the old one under load. The reverse comparison would be unfair.
        val latencyBaseline = baseline?.takeIf { it.hasLatency } ?: otherLoadBaseline.takeIf { !key.underLoad } ?: return
        val sameWindow = if (latencyBaseline === baseline) old else oldInOtherLoadState
        Baseline.QUANTILES.indices.forEach { scores[it + 1] += latencyBaseline.latencyEvidence(new, sameWindow, it) }
    }

    private fun collectBaselines() {
        val sums = HashMap<Pair<RouteName, Boolean>, EvidenceCounters>()
        totals.forEach { (key, counters) ->
            if (key.window.lengthSeconds != EvidenceWindows.LENGTHS_SECONDS.last()) return@forEach
            if (key.isNewVersion) newAttempts += counters.attempts else oldAttempts += counters.attempts
            if (!key.isNewVersion) sums.getOrPut(key.route to key.underLoad) { EvidenceCounters() }.addAll(counters)
        }
        sums.forEach { (key, counters) -> baselines[key] = Baseline(counters) }
    }

    private companion object {
        val EMPTY_BASELINE = Baseline(EvidenceCounters())
    }
}
