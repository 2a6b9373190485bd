package io.buckthornlever.bench.request

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.process.AccountTable
import io.buckthornlever.api.process.ClientAccount
import io.buckthornlever.api.request.ExecutionStatus
import io.buckthornlever.bench.process.Experiment
import io.buckthornlever.bench.process.ExperimentOptions
import io.buckthornlever.bench.process.ExperimentReport
import io.buckthornlever.bench.process.Measurement
import java.time.Duration

/** Work finished in time at twice the capacity, in total and per client account, at the site's size. */
internal class OverloadExperiment : Experiment {
    override val name: String = "overload"
    override val bound: String =
        "at twice the capacity goodput at least 0.9 of peak, no account below 0.9 of its fair share, every refusal truly not run"

    private class Outcome(
        val goodput: Double,
        val perAccount: Map<AccountId, Double>,
        val demands: Map<AccountId, Double>,
        val falseRefusals: Int,
        val refused: Int,
    )

    override fun run(options: ExperimentOptions): ExperimentReport {
        val naivePeak = SWEEP.maxOf { simulate(options, it, true).goodput }
        val sweep = SWEEP.map { simulate(options, it, false) }
        val peak = sweep.maxOf { it.goodput }
        val offeredAtOne = sweep.first().demands.values.sum() / SWEEP.first()
        val twice = 2 * peak / offeredAtOne
        val naive = simulate(options, twice, true)
        val actual = simulate(options, twice, false)
        val part = actual.goodput / peak
        val shares = fairParts(actual, peak)
        val naiveShares = fairParts(naive, peak)
        val measurements =
            listOf(
                Measurement("peak goodput", "cost/s", naivePeak, peak),
                Measurement("offered load", "cost/s", naive.demands.values.sum(), actual.demands.values.sum()),
                Measurement("goodput at twice the capacity", "cost/s", naive.goodput, actual.goodput),
                Measurement("part of own peak", "", naive.goodput / naivePeak, part),
                Measurement("requests refused as not run", "", naive.refused.toDouble(), actual.refused.toDouble()),
                Measurement("refused although run", "", naive.falseRefusals.toDouble(), actual.falseRefusals.toDouble()),
            ) + shares.map { (account, value) -> Measurement("part of fair share, $account", "", naiveShares.getValue(account), value) }
        val violations = ArrayList<String>()
        if (part < MIN_PART) violations += "goodput is %.3f of peak".format(part)
        shares.filter { it.value < MIN_PART }.forEach { violations += "${it.key} gets %.3f of its fair share".format(it.value) }
        if (actual.falseRefusals > 0) violations += "${actual.falseRefusals} requests were refused as not run although they ran"
        return ExperimentReport(name, bound, options.seed, measurements, violations)
    }

    /** Goodput of each account as a part of its fair share in [capacity]. */
    private fun fairParts(
        outcome: Outcome,
        capacity: Double,
    ): Map<AccountId, Double> {
        val fair = FairShares.divide(capacity, outcome.demands, WEIGHTS)
        return WEIGHTS.keys.associateWith { outcome.perAccount.getValue(it) / fair.getValue(it) }
    }

    private fun simulate(
        options: ExperimentOptions,
        load: Double,
        naive: Boolean,
    ): Outcome {
        val site = SimulatedSite(options.site, naive, options.seed, accounts = TABLE)
        val scale = load * site.engines.size / 6.0
        val traffic = SiteTraffic(options.seed, LONG_PER_SECOND * scale, SHORT_PER_SECOND * scale, SiteTraffic.ACCOUNTS)
        val length = maxOf(options.duration, MIN_LENGTH)
        val end = WARM_UP.plus(length).plus(DEADLINE)
        traffic.start(site.loop, end, site::arrive)
        site.loop.runUntil(end.plus(DRAIN))
        // By the time of the deadline, so that work that arrived before or after the measured interval evens out.
        val measured = traffic.calls.filter { it.deadline in WARM_UP.plus(DEADLINE).toNanos() until end.toNanos() }
        val seconds = length.seconds.toDouble()
        val good = measured.filter { it.inTime }
        val refused = traffic.calls.filter { it.error?.executed == ExecutionStatus.NOT_RUN }
        return Outcome(
            good.sumOf { it.cost } / seconds,
            WEIGHTS.keys.associateWith { account -> good.filter { it.account == account }.sumOf { it.cost } / seconds },
            WEIGHTS.keys.associateWith { account -> measured.filter { it.account == account }.sumOf { it.cost } / seconds },
            refused.count { it.ran },
            refused.size,
        )
    }

    private companion object {
        const val MIN_PART = 0.9
        const val LONG_PER_SECOND = 4.0
        const val SHORT_PER_SECOND = 12.0
        val SWEEP = listOf(0.8, 1.0, 1.2, 1.4, 1.6)
        val WARM_UP: Duration = Duration.ofSeconds(120)
        val MIN_LENGTH: Duration = Duration.ofSeconds(300)
        val DEADLINE: Duration = Duration.ofSeconds(60)
        val DRAIN: Duration = Duration.ofSeconds(120)

        /** The largest account has twice the weight of the others, but offers far more than twice their load. */
        val WEIGHTS = SiteTraffic.ACCOUNTS.keys.associateWith { if (it.value == "north") 2.0 else 1.0 }
        val TABLE = AccountTable(1, WEIGHTS.map { ClientAccount(it.key, it.value, "") })
    }
}
