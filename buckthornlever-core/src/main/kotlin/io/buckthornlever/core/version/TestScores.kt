package io.buckthornlever.core.version

import io.buckthornlever.api.process.RouteName

/** Running evidence per route and test on one level of windows; the null route stands for all routes together. */
internal class TestScores {
    private val byTest = HashMap<RouteName?, DoubleArray>()
    private val plain = DoubleArray(TESTS)

    /** Adds the next window. */
    fun add(window: Map<RouteName, DoubleArray>) {
        val all = DoubleArray(TESTS)
        window.forEach { (route, values) ->
            accumulate(route, values)
            for (test in 0 until TESTS) all[test] += values[test]
        }
        accumulate(null, all)
        for (test in 0 until TESTS) plain[test] += all[test]
    }

    /** The test with the strongest evidence against the new version, in words, and that evidence. */
    fun worst(): Pair<String, Double>? =
        byTest.entries
            .flatMap { (route, values) -> values.indices.map { Triple(route, it, values[it]) } }
            .maxWithOrNull(compareBy({ it.third }, { it.first?.value.orEmpty() }, { it.second }))
            ?.let { (route, test, value) -> "${label(test)} on ${route?.let { "route $it" } ?: "all routes"}" to value }

    /** Whether errors and, when [comparable], the highest latency quantile over all routes passed the bound for a good version. */
    fun decidedGood(comparable: Boolean): Boolean =
        plain.first() <= SequentialTest.GOOD_BOUND && (!comparable || plain.last() <= SequentialTest.GOOD_BOUND)

    private fun label(test: Int): String = if (test == 0) "errors" else "latency at quantile ${Reference.QUANTILES[test - 1]}"

    private fun accumulate(
        route: RouteName?,
        values: DoubleArray,
    ) {
        val sums = byTest.getOrPut(route) { DoubleArray(TESTS) }
        for (test in 0 until TESTS) sums[test] = maxOf(0.0, sums[test] + values[test])
    }

    companion object {
        /** Errors and one test per latency quantile. */
        val TESTS: Int = 1 + Reference.QUANTILES.size
    }
}
