package io.buckthornlever.core.version

import io.buckthornlever.api.process.RouteName

/** Running evidence per route and test on one level of windows; the null route stands for all routes together. */
internal class TestScores {
    private val scoresByRoute = HashMap<RouteName?, DoubleArray>()
    private val unclampedTotals = DoubleArray(TEST_COUNT)

    /** Adds the next window. */
    fun add(window: Map<RouteName, DoubleArray>) {
        val all = DoubleArray(TEST_COUNT)
        window.forEach { (route, values) ->
            accumulate(route, values)
            for (test in 0 until TEST_COUNT) all[test] += values[test]
        }
        accumulate(null, all)
        for (test in 0 until TEST_COUNT) unclampedTotals[test] += all[test]
    }

    /** The test with the strongest evidence against the new version, in words, and that evidence. */
    fun strongestEvidence(): Pair<String, Double>? =
        scoresByRoute.entries
            .flatMap { (route, values) -> values.indices.map { Triple(route, it, values[it]) } }
            .maxWithOrNull(compareBy({ it.third }, { it.first?.value.orEmpty() }, { it.second }))
            ?.let { (route, test, value) -> "${describe(test)} on ${route?.let { "route $it" } ?: "all routes"}" to value }

    /** Whether errors and, when [hasLatencyBaseline], the highest latency quantile over all routes passed the bound for a good version. */
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
        /** Errors and one test per latency quantile. */
        val TEST_COUNT: Int = 1 + Baseline.QUANTILES.size
    }
}
