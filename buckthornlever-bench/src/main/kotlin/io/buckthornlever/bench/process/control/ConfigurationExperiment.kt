package io.buckthornlever.bench.process.control

import io.buckthornlever.api.process.Configuration
import io.buckthornlever.bench.process.Experiment
import io.buckthornlever.bench.process.ExperimentOptions
import io.buckthornlever.bench.process.ExperimentReport
import io.buckthornlever.bench.process.Measurement
import java.time.Duration

/** How fast a change is in effect everywhere, whether anything reverts, and how store calls grow with the fleet. */
internal class ConfigurationExperiment : Experiment {
    override val name = "configuration"
    override val bound =
        "2% loss: a change effective everywhere within 3 s at 9 instances and 13 s at 1,200; nothing reverts through a store outage " +
            "with every instance restarted; waiting store calls at most 2 per failure domain"

    private val measurements = ArrayList<Measurement>()
    private val violations = ArrayList<String>()
    private val naiveTimes = HashMap<Int, Duration>()
    private val naiveWatches = HashMap<Int, Int>()

    override fun run(options: ExperimentOptions): ExperimentReport {
        measurements.clear()
        violations.clear()
        val naive = LinearFit(TargetScale.SIZES.map { it.toDouble() to naiveSpread(it) })
        val fit = LinearFit(TargetScale.SIZES.map { it.toDouble() to spread(it, options.seed) })
        measurements.add(Measurement("store calls/s per instance added (slope)", "1/s", naive.slope, fit.slope))
        println("naive store calls/s by fleet size: ${naive.describe()}")
        println("store calls/s by fleet size: ${fit.describe()}")
        RESTARTED_SIZES.forEach { rollingRestart(it, options.seed) }
        return ExperimentReport(name, bound, options.seed, measurements.toList(), violations.toList())
    }

    /** Measures the spread of changes; returns store calls per second including waiting watches. */
    private fun spread(size: Int, seed: Long): Double {
        val domains = if (size > SMALL_FLEET) TargetScale.DOMAINS else SMALL_DOMAINS
        val cluster = ControlCluster(size, seed, domains = domains, withConfiguration = true)
        cluster.store.write { _, revision -> TableFixture.configuration(UPSTREAMS, revision) }
        cluster.queue.run(WARM_UP)
        val before = cluster.store.calls
        val times = List(CHANGES) { change(cluster) }
        val watches = cluster.store.waiting
        val allowed = if (size <= SMALL_FLEET) MAX_SMALL else MAX_LARGE
        measurements.add(Measurement("slowest change effective at $size", "s", naiveTimes[size]?.let(::seconds), seconds(times.max())))
        measurements.add(Measurement("waiting watches at $size", "", naiveWatches[size]?.toDouble(), watches.toDouble()))
        if (times.max() > allowed) violations.add("a change took ${seconds(times.max())} s at $size instances")
        if (watches > 2 * domains) violations.add("$watches watches wait at $size instances")
        reportReverts(cluster, "$size instances")
        val elapsed = seconds(SETTLE.multipliedBy(CHANGES.toLong())) + times.sumOf { seconds(it) }
        return (cluster.store.calls - before) / elapsed
    }

    /** Fills [naiveTimes] and [naiveWatches]; returns store calls per second. */
    private fun naiveSpread(size: Int): Double {
        val naive = NaiveWatchers(size, TableFixture.configuration(UPSTREAMS, 1))
        naive.run(WARM_UP)
        val before = naive.calls
        val times = List(CHANGES) {
            naive.run(SETTLE)
            naive.change(LIMIT)
        }
        naiveTimes[size] = times.max()
        naiveWatches[size] = naive.waiting
        return (naive.calls - before) / (seconds(SETTLE.multipliedBy(CHANGES.toLong())) + times.sumOf { seconds(it) })
    }

    private fun change(cluster: ControlCluster): Duration {
        cluster.queue.run(SETTLE)
        cluster.store.write { tables, revision -> TableFixture.changed(tables, revision) }
        val target = cluster.store.revision
        return cluster.queue.runUntil(LIMIT) { cluster.up.all { it.sync.revisions.pools >= target } }
    }

    private fun rollingRestart(size: Int, seed: Long) {
        val cluster = ControlCluster(size, seed, withConfiguration = true)
        cluster.store.write { _, revision -> TableFixture.configuration(UPSTREAMS, revision) }
        cluster.queue.run(WARM_UP)
        change(cluster)
        val expected = cluster.store.revision
        cluster.store.isDown = true
        var slowest = Duration.ZERO
        for (old in cluster.up) {
            cluster.leave(old)
            val fresh = cluster.join(Configuration())
            slowest = maxOf(slowest, cluster.queue.runUntil(LIMIT) { fresh.sync.revisions.pools == expected })
            cluster.queue.run(RESTART_PAUSE)
        }
        cluster.queue.run(OUTAGE)
        val naive = NaiveWatchers(size, TableFixture.configuration(UPSTREAMS, 1))
        naive.run(WARM_UP)
        val naiveLost = naive.restartAllWithoutStore(RESTART_PAUSE)
        val lost = cluster.up.count { it.sync.revisions.pools != expected }
        measurements.add(Measurement("slowest start without the store at $size", "s", null, seconds(slowest)))
        measurements.add(Measurement("without tables after restart of all $size", "", naiveLost.toDouble(), lost.toDouble()))
        if (lost > 0) violations.add("$lost of $size instances lost the tables during the outage")
        cluster.store.isDown = false
        cluster.queue.run(BACKOFF)
        val time = change(cluster)
        measurements.add(Measurement("change effective after the outage at $size", "s", null, seconds(time)))
        if (time > MAX_LARGE) violations.add("the first change after the outage took ${seconds(time)} s")
        reportReverts(cluster, "restart of all $size instances")
    }

    private fun reportReverts(cluster: ControlCluster, where: String) {
        val reverted = cluster.nodes.values.count { it.reverted }
        if (reverted > 0) violations.add("$reverted instances went back to an older table: $where")
    }

    private fun seconds(duration: Duration): Double = duration.toMillis() / MILLIS

    private companion object {
        const val MILLIS = 1_000.0
        const val UPSTREAMS = 200
        const val CHANGES = 5
        const val SMALL_FLEET = 50
        const val SMALL_DOMAINS = 3
        val RESTARTED_SIZES = listOf(9, 50)
        val WARM_UP: Duration = Duration.ofSeconds(5)
        val SETTLE: Duration = Duration.ofSeconds(3)
        val RESTART_PAUSE: Duration = Duration.ofSeconds(1)
        val OUTAGE: Duration = Duration.ofSeconds(30)
        val BACKOFF: Duration = Duration.ofSeconds(12)
        val LIMIT: Duration = Duration.ofSeconds(60)
        val MAX_SMALL: Duration = Duration.ofSeconds(3)
        val MAX_LARGE: Duration = Duration.ofSeconds(13)
    }
}
