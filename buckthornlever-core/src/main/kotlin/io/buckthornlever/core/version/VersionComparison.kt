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
    private val totals: Map<EvidenceKey, EvidenceCell>,
) {
    private val references = HashMap<Pair<RouteName, Boolean>, Reference>()
    private var newRequests = 0
    private var oldRequests = 0

    fun assess(): Assessment {
        gatherReferences()
        var worst = Assessment.NONE
        var good = false
        EvidenceSlots.LEVELS.forEach { level ->
            val scores = TestScores()
            windows(level).values.forEach { scores.add(it) }
            scores.worst()?.takeIf { it.second > worst.badScore }?.let { (what, score) ->
                worst = worst.copy(badScore = score, worst = "$what in windows of $level s")
            }
            if (level == EvidenceSlots.LEVELS.last()) good = scores.decidedGood(references.values.any { it.hasLatency })
        }
        return worst.copy(decidedGood = good, newRequests = newRequests, oldRequests = oldRequests)
    }

    /** Evidence per test and route of each window of [level], oldest first. */
    private fun windows(level: Int): Map<Int, Map<RouteName, DoubleArray>> {
        val windows = TreeMap<Int, HashMap<RouteName, DoubleArray>>()
        totals.forEach { (key, cell) ->
            if (!key.newVersion || key.slot.seconds != level) return@forEach
            val sums = windows.getOrPut(key.slot.index) { HashMap() }.getOrPut(key.route) { DoubleArray(TestScores.TESTS) }
            addEvidence(key, cell, sums)
        }
        return windows
    }

    private fun addEvidence(
        key: EvidenceKey,
        new: EvidenceCell,
        sums: DoubleArray,
    ) {
        val old = totals[key.copy(newVersion = false)]
        val otherLoad = totals[key.copy(newVersion = false, underLoad = !key.underLoad)]
        val reference = references[key.route to key.underLoad]
        val otherReference = references[key.route to !key.underLoad]
        // During a move the old version is usually under load and the new one is not: errors are compared across load states.
        sums[0] += (reference ?: otherReference ?: NO_REFERENCE).errors(new, listOfNotNull(old, otherLoad))
        // Without load the new version must not be slower than the old one under load; the opposite comparison would be unfair.
        val latency = reference?.takeIf { it.hasLatency } ?: otherReference.takeIf { !key.underLoad } ?: return
        val window = if (latency === reference) old else otherLoad
        Reference.QUANTILES.indices.forEach { sums[it + 1] += latency.latency(new, window, it) }
    }

    private fun gatherReferences() {
        val sums = HashMap<Pair<RouteName, Boolean>, EvidenceCell>()
        totals.forEach { (key, cell) ->
            if (key.slot.seconds != EvidenceSlots.LEVELS.last()) return@forEach
            if (key.newVersion) newRequests += cell.requests else oldRequests += cell.requests
            if (!key.newVersion) sums.getOrPut(key.route to key.underLoad) { EvidenceCell() }.addAll(cell)
        }
        sums.forEach { (key, cell) -> references[key] = Reference(cell) }
    }

    private companion object {
        val NO_REFERENCE = Reference(EvidenceCell())
    }
}
