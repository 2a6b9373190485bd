package io.buckthornlever.bench.process.control

import io.buckthornlever.bench.process.Experiment
import io.buckthornlever.bench.process.ExperimentOptions
import io.buckthornlever.bench.process.ExperimentReport
import io.buckthornlever.bench.process.Measurement
import io.buckthornlever.core.process.membership.PeerMessage
import io.buckthornlever.core.process.membership.TableRevisions
import java.lang.management.ManagementFactory
import java.time.Duration

/** Bytes, messages, processor time and heap of the control plane by member count, with background changes of the target scale. */
internal class ControlCostExperiment : Experiment {
    override val name = "control-cost"
    override val bound =
        "at 1,200 members with ${TargetScale.CHANGES_PER_DAY} changes and ${TargetScale.RESTARTS_PER_DAY} restarts a day: " +
            "at most 17 KB/s, 4.4% of a core and 64 MB per instance"

    private class Cost(
        val bytes: Double,
        val messages: Double,
        val corePercent: Double,
    )

    private val measurements = ArrayList<Measurement>()
    private val violations = ArrayList<String>()

    override fun run(options: ExperimentOptions): ExperimentReport {
        measurements.clear()
        violations.clear()
        cost(WARM_UP_SIZE, options.seed)
        val costs = TargetScale.SIZES.map { it to cost(it, options.seed) }
        costs.forEach { (size, cost) -> addRows(size, cost) }
        val heap = TargetScale.SIZES.map { it to MembershipHeap.megabytes(it, COPIES) }
        heap.forEach { (size, value) -> measurements.add(Measurement("heap at $size", "MB", null, value)) }
        print("bytes/s", costs.map { it.first to it.second.bytes })
        print("messages/s", costs.map { it.first to it.second.messages })
        print("core %", costs.map { it.first to it.second.corePercent })
        print("heap MB", heap)
        val changes = TABLE_SIZES.map { it to TableChangeCost.millis(it) }
        print("ms per change by upstreams", changes)
        print("bytes of the stored pool table by upstreams", TABLE_SIZES.map { it to TableChangeCost.storedBytes(it).toDouble() })
        changes.forEach { (size, value) -> measurements.add(Measurement("time per change, $size upstreams", "ms", null, value)) }
        val largest = costs.last().second
        val changesPerSecond = TargetScale.CHANGES_PER_DAY / TargetScale.SECONDS_PER_DAY
        val core = largest.corePercent + changes.last().second * changesPerSecond * PERCENT / MILLIS
        measurements.add(Measurement("processor time at 1200 with 10,000 upstreams", "% core", null, core))
        check("bytes/s", largest.bytes, TargetScale.BYTES_PER_SECOND)
        check("core %", core, TargetScale.CORE_PERCENT)
        check("heap MB", heap.last().second, TargetScale.HEAP_MEGABYTES)
        return ExperimentReport(name, bound, options.seed, measurements.toList(), violations.toList())
    }

    private fun addRows(size: Int, cost: Cost) {
        val mesh = HeartbeatMesh(size, 0.0, 0)
        measurements.add(Measurement("bytes/s sent at $size", "B/s", mesh.bytesPerSecond(heartbeatBytes()), cost.bytes))
        measurements.add(Measurement("messages/s sent at $size", "1/s", mesh.messagesPerSecond, cost.messages))
        measurements.add(Measurement("processor time at $size", "% core", null, cost.corePercent))
    }

    /** Size of a heartbeat without news in the same encoding. */
    private fun heartbeatBytes(): Int {
        val node = ControlCluster(1, 1).up.single()
        val message = PeerMessage.Gossip(PeerMessage.News(node.membership.ownUpdate, TableRevisions()))
        return checkNotNull(node.codec.encodeDatagram(node.address.id, message)).size
    }

    private fun print(metric: String, points: List<Pair<Int, Double>>) {
        println("$metric: ${LinearFit(points.map { it.first.toDouble() to it.second }).describe()}")
    }

    private fun check(metric: String, value: Double, max: Double) {
        if (value > max) violations.add("$metric is $value at ${TargetScale.MEMBERS} members, allowed are $max")
    }

    private fun cost(size: Int, seed: Long): Cost {
        val cluster = ControlCluster(size, seed, domains = minOf(TargetScale.DOMAINS, size), withConfiguration = true)
        cluster.store.write { _, revision -> TableFixture.configuration(UPSTREAMS, revision) }
        cluster.queue.run(WARM_UP)
        scheduleChanges(cluster)
        scheduleRestarts(cluster, size)
        val bytes = cluster.bytes
        val messages = cluster.datagrams
        val threads = ManagementFactory.getThreadMXBean()
        val start = threads.currentThreadCpuTime
        cluster.queue.run(MEASURED)
        val seconds = MEASURED.toSeconds().toDouble() * size
        val processor = (threads.currentThreadCpuTime - start) / NANOS
        return Cost((cluster.bytes - bytes) / seconds, (cluster.datagrams - messages) / seconds, PERCENT * processor / seconds)
    }

    /** The rate of changes is that of the target scale at every size, so that sizes compare. */
    private fun scheduleChanges(cluster: ControlCluster) {
        val every = Duration.ofMillis((TargetScale.SECONDS_PER_DAY / TargetScale.CHANGES_PER_DAY * MILLIS).toLong())

        fun next() {
            cluster.store.write { tables, revision -> TableFixture.changed(tables, revision) }
            cluster.queue.after(every) { next() }
        }
        cluster.queue.after(every) { next() }
    }

    private fun scheduleRestarts(cluster: ControlCluster, size: Int) {
        val perSecond = TargetScale.RESTARTS_PER_DAY / TargetScale.SECONDS_PER_DAY * size / TargetScale.MEMBERS
        val every = Duration.ofMillis((MILLIS / perSecond).toLong())

        fun next() {
            cluster.leave(cluster.up.first())
            cluster.join()
            cluster.queue.after(every) { next() }
        }
        cluster.queue.after(every.dividedBy(2)) { next() }
    }

    private companion object {
        const val NANOS = 1e9
        const val MILLIS = 1_000.0
        const val PERCENT = 100.0
        const val UPSTREAMS = 400
        val TABLE_SIZES = listOf(400, 2_000, 5_000, 10_000)
        const val WARM_UP_SIZE = 50

        const val COPIES = 8
        val WARM_UP: Duration = Duration.ofSeconds(5)
        val MEASURED: Duration = Duration.ofSeconds(30)
    }
}
