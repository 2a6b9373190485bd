package io.buckthornlever.bench.request

import io.buckthornlever.bench.process.Experiment
import io.buckthornlever.bench.process.ExperimentOptions
import io.buckthornlever.bench.process.ExperimentReport
import io.buckthornlever.bench.process.Measurement
import java.time.Duration
import kotlin.random.Random

/** Load on upstreams that become cold without announcement while entry instances are replaced, under more load than they bear. */
internal class ColdStartExperiment : Experiment {
    override val name: String = "cold-start"
    override val bound: String =
        "no request arrives at a cold upstream above its capacity, summed over all entry instances, and cold upstreams are used"

    private class Outcome(
        val arrivedInExcess: Int,
        val worstExcess: Int,
        val accepted: Int,
    )

    override fun run(options: ExperimentOptions): ExperimentReport {
        val measurements = ArrayList<Measurement>()
        val violations = ArrayList<String>()
        for (limit in LIMITS) {
            val naive = simulate(options, limit, true)
            val actual = simulate(options, limit, false)
            measurements += measurement("limit $limit: arrived above capacity", naive.arrivedInExcess, actual.arrivedInExcess)
            measurements += measurement("limit $limit: worst excess", naive.worstExcess, actual.worstExcess)
            measurements += measurement("limit $limit: arrived within capacity", naive.accepted, actual.accepted)
            if (actual.arrivedInExcess > 0) violations += "limit $limit: ${actual.arrivedInExcess} requests above capacity"
            if (actual.accepted == 0) violations += "limit $limit: the cold upstreams were not used"
        }
        return ExperimentReport(name, bound, options.seed, measurements, violations)
    }

    private fun measurement(
        metric: String,
        naive: Int,
        actual: Int,
    ) = Measurement(metric, "requests", naive.toDouble(), actual.toDouble())

    private fun simulate(
        options: ExperimentOptions,
        limit: Int,
        naive: Boolean,
    ): Outcome {
        val site = SimulatedSite(options.site, naive, options.seed, EngineSettings(coldSlots = limit))
        val scale = LOAD * site.engines.size / 6.0
        val traffic = SiteTraffic(options.seed, LONG_PER_SECOND * scale, SHORT_PER_SECOND * scale, SiteTraffic.ACCOUNTS)
        val end = maxOf(options.duration, MIN_LENGTH)
        traffic.start(site.loop, end, site::arrive)
        MembershipChurn(site, options.seed).start()
        val random = Random(options.seed)
        site.loop.every(COLD_PERIOD, Duration.ofSeconds(20)) { site.engines.random(random).becomeCold() }
        site.loop.runUntil(end)
        return Outcome(
            site.engines.sumOf { it.arrivedInExcess },
            site.engines.maxOf { it.worstExcess },
            site.engines.sumOf { it.acceptedCold },
        )
    }

    private companion object {
        const val LONG_PER_SECOND = 4.0
        const val SHORT_PER_SECOND = 12.0

        /** Above what the site bears while engines are cold, so that requests wait for every free place. */
        const val LOAD = 1.5
        val LIMITS = listOf(1, 3, 6, 12)
        val MIN_LENGTH: Duration = Duration.ofSeconds(600)
        val COLD_PERIOD: Duration = Duration.ofSeconds(25)
    }
}
