package io.buckthornlever.core.version

import io.buckthornlever.api.process.RouteName

/** Accumulated evidence per route and test for one window length. */
internal class TestScores {
    /** CUSUM scores; the null route stands for all routes together. */
    private val scoresByRoute = HashMap<RouteName?, DoubleArray>()

    /** Sums over all routes that, unlike [scoresByRoute], may become negative and so can prove a version good. */
    private val unclampedTotals = DoubleArray(TEST_COUNT)

    /** Adds the evidence of the next window. */
    fun add(window: Map<RouteName, DoubleArray>) {
        val all = DoubleArray(TEST_COUNT)
        window.forEach { (route, values) ->
            accumulate(route, values)
            for (test in 0 until TEST_COUNT) all[test] += values[test]
        }
        accumulate(null, all)
        for (test in 0 until TEST_COUNT) unclampedTotals[test] += all[test]
    }

    /** Description and score of the test with the strongest evidence against the new version. */
    fun strongestEvidence(): Pair<String, Double>? =
        scoresByRoute.entries
            .flatMap { (route, values) -> values.indices.map { Triple(route, it, values[it]) } }
            .maxWithOrNull(compareBy({ it.third }, { it.first?.value.orEmpty() }, { it.second }))
            ?.let { (route, test, value) -> "${describe(test)} on ${route?.let { "route $it" } ?: "all routes"}" to value }

    /** Whether errors and, if [hasLatencyBaseline], the highest latency quantile reached [SequentialTest.GOOD_BOUND] over all routes. */
    fun isProvenGood(hasLatencyBaseline: Boolean): Boolean =
        unclampedTotals.first() <= SequentialTest.GOOD_BOUND && (!hasLatencyBaseline || unclampedTotals.last() <= SequentialTest.GOOD_BOUND)

    private fun describe(test: Int): String = if (test == 0) "errors" else "latency at quantile ${Baseline.QUANTILES[test - 1]}"

    private fun accumulate(
        route: RouteName?,
        values: DoubleArray,
    ) {
        val sums = scoresByRoute.getOrPut(route) { DoubleArray(TEST_COUNT) }
        for (test in 0 until TEST_COUNT) sums[test] = maxOf(0.0, sums[test] + values[test])
    }

    companion object {
        /** One test for errors (index 0) and one per latency quantile. */
        val TEST_COUNT: Int = 1 + Baseline.QUANTILES.size
    }
}
