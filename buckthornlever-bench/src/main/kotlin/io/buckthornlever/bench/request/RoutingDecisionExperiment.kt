package io.buckthornlever.bench.request

import com.sun.management.ThreadMXBean
import io.buckthornlever.api.connection.LoadReport
import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.Pool
import io.buckthornlever.api.process.PoolName
import io.buckthornlever.api.process.PoolTable
import io.buckthornlever.api.process.Route
import io.buckthornlever.api.process.RouteMatch
import io.buckthornlever.api.process.RouteName
import io.buckthornlever.api.process.ServiceKind
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.api.request.WorkClass
import io.buckthornlever.api.version.VersionLabel
import io.buckthornlever.bench.process.Experiment
import io.buckthornlever.bench.process.ExperimentOptions
import io.buckthornlever.bench.process.ExperimentReport
import io.buckthornlever.bench.process.Measurement
import io.buckthornlever.core.process.CallOutcome
import io.buckthornlever.core.process.ManualClock
import io.buckthornlever.core.request.RequestRouter
import io.buckthornlever.core.request.RoutingRequest
import io.buckthornlever.core.request.Selection
import io.buckthornlever.core.request.UpstreamSelector
import org.HdrHistogram.Histogram
import java.lang.management.ManagementFactory
import kotlin.random.Random

/** Time and allocation of one decision over fleets of different sizes. */
internal class RoutingDecisionExperiment : Experiment {
    override val name: String = "routing-decision"
    override val bound: String = "p99 of a decision at most 20 us over 10,000 upstreams, allocation not above 1.1 of that over 100"

    private class Outcome(
        val p50Micros: Double,
        val p99Micros: Double,
        val bytes: Double,
        val indexMillis: Double,
    )

    override fun run(options: ExperimentOptions): ExperimentReport {
        val measurements = ArrayList<Measurement>()
        val actual = SIZES.associateWith { measure(RequestRouter(SELF, ManualClock()), it, DECISIONS, options.seed) }
        for (size in SIZES) {
            val naive = measure(NaiveSelector(), size, DECISIONS * SIZES.first() / size, options.seed)
            val outcome = actual.getValue(size)
            measurements += Measurement("$size upstreams: decision, p50", "us", naive.p50Micros, outcome.p50Micros)
            measurements += Measurement("$size upstreams: decision, p99", "us", naive.p99Micros, outcome.p99Micros)
            measurements += Measurement("$size upstreams: allocation", "B/decision", naive.bytes, outcome.bytes)
            measurements += Measurement("$size upstreams: index of a new table", "ms", null, outcome.indexMillis)
        }
        val largest = actual.getValue(SIZES.last())
        val growth = largest.bytes / actual.getValue(SIZES.first()).bytes
        measurements += Measurement("allocation, ${SIZES.last()} to ${SIZES.first()} upstreams", "", null, growth)
        val violations = ArrayList<String>()
        if (largest.p99Micros > MAX_P99_MICROS) violations += "p99 is %.1f us over ${SIZES.last()} upstreams".format(largest.p99Micros)
        if (growth > MAX_GROWTH) violations += "allocation grows by %.2f with the number of upstreams".format(growth)
        return ExperimentReport(name, bound, options.seed, measurements, violations)
    }

    private fun measure(
        selector: UpstreamSelector,
        size: Int,
        decisions: Int,
        seed: Long,
    ): Outcome {
        val random = Random(seed)
        val start = System.nanoTime()
        selector.configure(configuration(size))
        val indexMillis = (System.nanoTime() - start) / NANOS_PER_MILLI
        selector.onMembersChanged(listOf(SELF))
        for (i in 0 until size) selector.onLoadReported(UpstreamId("u$i"), LoadReport(random.nextInt(0, SLOTS), 0, SLOTS, measuredAt = EPOCH))
        val requests = Array(REQUESTS) { RoutingRequest(ROUTE, prefix(random), random.nextLong()) }
        run(selector, requests, decisions, Histogram(3), random)
        val histogram = Histogram(3)
        val bytes = run(selector, requests, decisions, histogram, random)
        return Outcome(
            histogram.getValueAtPercentile(50.0) / NANOS_PER_MICRO,
            histogram.getValueAtPercentile(99.0) / NANOS_PER_MICRO,
            bytes,
            indexMillis,
        )
    }

    /** Decides and finishes requests, and returns the bytes that one decision allocates. */
    private fun run(
        selector: UpstreamSelector,
        requests: Array<RoutingRequest>,
        decisions: Int,
        histogram: Histogram,
        random: Random,
    ): Double {
        val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean
        val inFlight = ArrayDeque<UpstreamId>()
        var bytes = 0L
        repeat(decisions) {
            val request = requests[random.nextInt(requests.size)]
            val before = threads.currentThreadAllocatedBytes
            val start = System.nanoTime()
            val selection = selector.select(request)
            val nanos = System.nanoTime() - start
            bytes += threads.currentThreadAllocatedBytes - before
            histogram.recordValue(nanos)
            if (selection is Selection.Chosen) inFlight.addLast(selection.upstream.id)
            if (inFlight.size > IN_FLIGHT) selector.onCallFinished(inFlight.removeFirst(), CallOutcome.Abandoned)
        }
        inFlight.forEach { selector.onCallFinished(it, CallOutcome.Abandoned) }
        return bytes.toDouble() / decisions
    }

    private fun prefix(random: Random): LongArray {
        val context = random.nextInt(CONTEXTS)
        return LongArray(64) { if (it < 48) context * 1_000L + it else random.nextLong() }
    }

    private fun configuration(size: Int): Configuration {
        val upstreams =
            List(size) {
                UpstreamSpec(
                    id = UpstreamId("u$it"),
                    url = "http://127.0.0.1:1",
                    failureDomain = FailureDomain("zone-${it % 18}"),
                    version = VersionLabel("v${it % 2}"),
                    machineClass = "class-${it % 3}",
                    pricePerHour = 8.0 + it % 3 * 4,
                    concurrency = SLOTS,
                )
            }
        return Configuration(pools = PoolTable(1, listOf(Pool(POOL, ServiceKind.MODEL, upstreams))))
    }

    private companion object {
        val SIZES = listOf(100, 1_000, 10_000)
        val SELF = InstanceId("entry-0")
        val POOL = PoolName("models")
        val ROUTE = Route(RouteName("r"), RouteMatch("/v1"), ServiceKind.MODEL, WorkClass.INTERACTIVE, listOf(POOL))
        const val EPOCH = "1970-01-01T00:00:00Z"
        const val SLOTS = 16
        const val CONTEXTS = 5_000
        const val REQUESTS = 20_000
        const val DECISIONS = 400_000
        const val IN_FLIGHT = 200
        const val MAX_P99_MICROS = 20.0
        const val MAX_GROWTH = 1.1
        const val NANOS_PER_MILLI = 1e6
        const val NANOS_PER_MICRO = 1e3
    }
}
