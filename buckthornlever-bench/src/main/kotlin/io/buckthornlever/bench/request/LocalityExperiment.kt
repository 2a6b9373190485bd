package io.buckthornlever.bench.request

import io.buckthornlever.api.request.WorkClass
import io.buckthornlever.bench.process.Experiment
import io.buckthornlever.bench.process.ExperimentOptions
import io.buckthornlever.bench.process.ExperimentReport
import io.buckthornlever.bench.process.Measurement
import org.HdrHistogram.Histogram
import java.time.Duration

/** Tokens recomputed and time to first token, with and without locality, at the site's size. */
internal class LocalityExperiment : Experiment {
    override val name: String = "locality"
    override val bound: String = "recomputed tokens at most 0.5 of the naive baseline's, p95 time to first token not above it"

    private class Outcome(
        val recomputed: Double,
        val computedPercent: Double,
        val firstToken: Histogram,
        val firstTokenShort: Histogram,
        val failed: Int,
    )

    override fun run(options: ExperimentOptions): ExperimentReport {
        val naive = simulate(options, true)
        val actual = simulate(options, false)
        val ratio = actual.recomputed / maxOf(1.0, naive.recomputed)
        val measurements =
            listOf(
                Measurement("recomputed tokens", "tokens/s", naive.recomputed, actual.recomputed),
                Measurement("recomputed tokens, ratio to naive", "", 1.0, ratio),
                Measurement("prompt tokens computed", "%", naive.computedPercent, actual.computedPercent),
                Measurement("time to first token, p50", "ms", millis(naive.firstToken, 50.0), millis(actual.firstToken, 50.0)),
                Measurement("time to first token, p95", "ms", millis(naive.firstToken, 95.0), millis(actual.firstToken, 95.0)),
                Measurement("same, interactive only", "ms", millis(naive.firstTokenShort, 95.0), millis(actual.firstTokenShort, 95.0)),
                Measurement("requests measured", "", naive.firstToken.totalCount.toDouble(), actual.firstToken.totalCount.toDouble()),
                Measurement("requests without answer", "", naive.failed.toDouble(), actual.failed.toDouble()),
            )
        val violations = ArrayList<String>()
        if (ratio > MAX_RATIO) violations += "recomputed tokens are %.3f of the naive baseline's".format(ratio)
        if (p95(actual.firstToken) > p95(naive.firstToken)) violations += "p95 time to first token is above the naive baseline's"
        if (p95(actual.firstTokenShort) > p95(naive.firstTokenShort)) violations += "p95 of interactive requests is above the baseline's"
        if (actual.failed > naive.failed) violations += "more requests without answer than the naive baseline"
        return ExperimentReport(name, bound, options.seed, measurements, violations)
    }

    private fun simulate(
        options: ExperimentOptions,
        naive: Boolean,
    ): Outcome {
        val site = SimulatedSite(options.site, naive, options.seed)
        val scale = site.engines.size / 6.0
        val traffic = SiteTraffic(options.seed, LONG_PER_SECOND * scale, SHORT_PER_SECOND * scale, SiteTraffic.ACCOUNTS)
        val length = maxOf(options.duration, MIN_LENGTH)
        val end = WARM_UP.plus(length)
        traffic.start(site.loop, end, site::arrive)
        site.loop.runUntil(WARM_UP)
        site.ledger.resetCounts()
        site.loop.runUntil(end)
        val recomputed = site.ledger.recomputedTokens.toDouble() / length.seconds
        val computed = 100.0 * site.ledger.computedTokens / site.ledger.promptTokens
        site.loop.runUntil(end.plus(DRAIN))
        val measured = traffic.calls.filter { it.arrivedAt >= WARM_UP.toNanos() }
        val short = measured.filter { it.workClass == WorkClass.INTERACTIVE }
        return Outcome(recomputed, computed, histogram(measured), histogram(short), measured.count { it.finishedAt == null })
    }

    private fun histogram(calls: List<SimulatedCall>): Histogram {
        val histogram = Histogram(3)
        calls.forEach { call -> call.firstByteAt?.let { histogram.recordValue((it - call.arrivedAt) / NANOS_PER_MICRO) } }
        return histogram
    }

    private fun p95(histogram: Histogram): Long = histogram.getValueAtPercentile(95.0)

    private fun millis(
        histogram: Histogram,
        percentile: Double,
    ): Double = histogram.getValueAtPercentile(percentile) / 1_000.0

    private companion object {
        const val MAX_RATIO = 0.5
        const val LONG_PER_SECOND = 4.0
        const val SHORT_PER_SECOND = 12.0
        const val NANOS_PER_MICRO = 1_000L
        val WARM_UP: Duration = Duration.ofSeconds(120)
        val MIN_LENGTH: Duration = Duration.ofSeconds(300)
        val DRAIN: Duration = Duration.ofSeconds(120)
    }
}
