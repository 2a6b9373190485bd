package io.buckthornlever.core.version

import io.buckthornlever.api.process.RouteName
import java.util.TreeMap

/**
 * Compares the new version with the old one from merged evidence: errors and latency quantiles, per route and over all routes.
 * Latency under load is compared only with latency under load. On each level of windows the evidence is accumulated from the
 * oldest window on and restarts at zero when it falls below (Page's test), so that a fault that starts late is found as fast as
 * one that is there from the beginning.
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
        EvidenceWindows.LENGTHS_SECONDS.forEach { level ->
            val scores = TestScores()
            evidenceByWindow(level).values.forEach { scores.add(it) }
            scores.strongestEvidence()?.takeIf { it.second > worst.badScore }?.let { (what, score) ->
                worst = worst.copy(badScore = score, worstTest = "$what in windows of $level s")
            }
            if (level == EvidenceWindows.LENGTHS_SECONDS.last()) good = scores.isProvenGood(baselines.values.any { it.hasLatency })
        }
        return worst.copy(isProvenGood = good, newAttempts = newAttempts, oldAttempts = oldAttempts)
    }

    /** Evidence per test and route of each window of [level], oldest first. */
    private fun evidenceByWindow(level: Int): Map<Int, Map<RouteName, DoubleArray>> {
        val windows = TreeMap<Int, HashMap<RouteName, DoubleArray>>()
        totals.forEach { (key, cell) ->
            if (!key.isNewVersion || key.window.lengthSeconds != level) return@forEach
            val sums = windows.getOrPut(key.window.index) { HashMap() }.getOrPut(key.route) { DoubleArray(TestScores.TEST_COUNT) }
            addEvidence(key, cell, sums)
        }
        return windows
    }

    private fun addEvidence(
        key: EvidenceKey,
        new: EvidenceCounters,
        scores: DoubleArray,
    ) {
        val old = totals[key.copy(isNewVersion = false)]
        val otherLoad = totals[key.copy(isNewVersion = false, underLoad = !key.underLoad)]
        val reference = baselines[key.route to key.underLoad]
        val otherReference = baselines[key.route to !key.underLoad]
        // During a move the old version is usually under load and the new one is not: errors are compared across load states.
        scores[0] += (reference ?: otherReference ?: EMPTY_BASELINE).errorEvidence(new, listOfNotNull(old, otherLoad))
        // Without load the new version must not be slower than the old one under load; the opposite comparison would be unfair.
        val latency = reference?.takeIf { it.hasLatency } ?: otherReference.takeIf { !key.underLoad } ?: return
        val window = if (latency === reference) old else otherLoad
        Baseline.QUANTILES.indices.forEach { scores[it + 1] += latency.latencyEvidence(new, window, it) }
    }

    private fun collectBaselines() {
        val sums = HashMap<Pair<RouteName, Boolean>, EvidenceCounters>()
        totals.forEach { (key, cell) ->
            if (key.window.lengthSeconds != EvidenceWindows.LENGTHS_SECONDS.last()) return@forEach
            if (key.isNewVersion) newAttempts += cell.attempts else oldAttempts += cell.attempts
            if (!key.isNewVersion) sums.getOrPut(key.route to key.underLoad) { EvidenceCounters() }.addAll(cell)
        }
        sums.forEach { (key, cell) -> baselines[key] = Baseline(cell) }
    }

    private companion object {
        val EMPTY_BASELINE = Baseline(EvidenceCounters())
    }
}
