package io.buckthornlever.bench.process.control

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.bench.process.Experiment
import io.buckthornlever.bench.process.ExperimentOptions
import io.buckthornlever.bench.process.ExperimentReport
import io.buckthornlever.bench.process.Measurement
import io.buckthornlever.core.process.membership.MemberState
import java.time.Duration

/** How fast all members learn of a leave and of a death, and whether two sides of a partition find each other. */
internal class MembershipExperiment : Experiment {
    override val name = "membership"
    override val bound =
        "9 to 1,200 members, 2% loss: a leave known to all within 3 s, a death within 10 s, no false death, " +
            "one view within 60 s after a partition of an hour"

    private val measurements = ArrayList<Measurement>()
    private val violations = ArrayList<String>()

    override fun run(options: ExperimentOptions): ExperimentReport {
        measurements.clear()
        violations.clear()
        TargetScale.SIZES.forEach { changes(it, options.seed) }
        domainLoss(options.seed)
        PARTITIONED_SIZES.forEach { partition(it, options.seed) }
        LoopbackMembership(measurements, violations).run()
        return ExperimentReport(name, bound, options.seed, measurements.toList(), violations.toList())
    }

    private fun changes(size: Int, seed: Long) {
        val cluster = ControlCluster(size, seed)
        cluster.queue.run(WARM_UP)
        val naive = HeartbeatMesh(size, ControlCluster.DEFAULT_LOSS, seed)
        val leaves = List(REPEATS) { known(cluster, MemberState.LEFT, LIMIT) { cluster.leave(it) } }
        val deaths = List(REPEATS) { known(cluster, MemberState.DEAD, LIMIT) { it.isUp = false } }
        record("slowest leave, $size members", naive.leave(), leaves.max(), MAX_LEAVE)
        record("slowest death, $size members", naive.death(), deaths.max(), MAX_DEATH)
        if (cluster.falseDeaths > 0) violations.add("${cluster.falseDeaths} false deaths at $size members")
    }

    private fun known(cluster: ControlCluster, state: MemberState, limit: Duration, stop: (ControlNode) -> Unit): Duration {
        cluster.queue.run(SETTLE)
        val victim = cluster.up.last()
        stop(victim)
        return cluster.queue.runUntil(limit) { knows(cluster, victim.address.id, state) }
    }

    private fun knows(cluster: ControlCluster, id: InstanceId, state: MemberState): Boolean =
        cluster.nodes.values.all { !it.isUp || it.address.id == id || it.membership.stateOf(id) == state }

    /** A whole failure domain dies at once. */
    private fun domainLoss(seed: Long) {
        val cluster = ControlCluster(DOMAIN_LOSS_MEMBERS, seed, domains = DOMAIN_LOSS_DOMAINS)
        cluster.queue.run(WARM_UP)
        val lost = cluster.up.filter { it.address.failureDomain == cluster.up.first().address.failureDomain }
        lost.forEach { it.isUp = false }
        val survivors = cluster.up.size
        val time = cluster.queue.runUntil(LIMIT) { cluster.up.all { it.membership.liveCount == survivors } }
        record("loss of ${lost.size} of $DOMAIN_LOSS_MEMBERS members", null, time, MAX_DEATH)
        if (cluster.falseDeaths > 0) violations.add("${cluster.falseDeaths} false deaths in a domain loss")
    }

    private fun partition(size: Int, seed: Long) {
        val cluster = ControlCluster(size, seed)
        cluster.queue.run(WARM_UP)
        val left = cluster.up.take(size / 2).map { it.address.id }.toSet()
        cluster.cut = { from, to -> (from in left) != (to in left) }
        cluster.queue.run(PARTITION)
        if (cluster.up.any { it.membership.liveCount != size / 2 }) violations.add("sides are not separate at $size members")
        cluster.cut = { _, _ -> false }
        val time = cluster.queue.runUntil(LIMIT) { cluster.up.all { it.membership.liveCount == size } }
        record("one view after 1 h partition, $size members", null, time, MAX_HEAL)
    }

    private fun record(metric: String, naive: Duration?, measured: Duration, max: Duration) {
        measurements.add(Measurement(metric, "s", naive?.let(::seconds), seconds(measured)))
        if (measured > max) violations.add("$metric took ${seconds(measured)} s, allowed are ${seconds(max)} s")
    }

    private fun seconds(duration: Duration): Double = duration.toMillis() / MILLIS

    private companion object {
        const val MILLIS = 1_000.0
        const val REPEATS = 3
        const val DOMAIN_LOSS_MEMBERS = 360
        const val DOMAIN_LOSS_DOMAINS = 18
        val PARTITIONED_SIZES = listOf(10, 50)
        val WARM_UP: Duration = Duration.ofSeconds(3)
        val SETTLE: Duration = Duration.ofSeconds(1)
        val LIMIT: Duration = Duration.ofSeconds(120)
        val PARTITION: Duration = Duration.ofHours(1)
        val MAX_LEAVE: Duration = Duration.ofSeconds(3)
        val MAX_DEATH: Duration = Duration.ofSeconds(10)
        val MAX_HEAL: Duration = Duration.ofSeconds(60)
    }
}
