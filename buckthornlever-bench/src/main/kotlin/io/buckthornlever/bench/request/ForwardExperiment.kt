package io.buckthornlever.bench.request

import io.buckthornlever.bench.process.Experiment
import io.buckthornlever.bench.process.ExperimentOptions
import io.buckthornlever.bench.process.ExperimentReport
import io.buckthornlever.bench.process.Measurement
import io.buckthornlever.bench.process.SiteFixture
import io.buckthornlever.bench.process.SiteLayout

/** Compares lookups sent straight to a stand-in with lookups forwarded by one entry instance. */
internal class ForwardExperiment : Experiment {
    override val name: String = "forward"
    override val bound: String = "no call fails; prints direct calls (as naive) and forwarded calls"

    override fun run(options: ExperimentOptions): ExperimentReport =
        SiteFixture(SiteLayout.of(options.site), entryInstances = 1).use { fixture ->
            fixture.start()
            val path = fixture.layout.lookupPaths.first()
            val service = fixture.services.first().url + path
            val entry = fixture.daemons.first().callerUrl + path
            val slice = options.duration.dividedBy(SLICES)
            ClosedLoop(entry, CALLERS).run(slice)
            val direct = ClosedLoop(service, CALLERS).run(slice)
            val forwarded = ClosedLoop(entry, CALLERS).run(slice)
            val calmDirect = ClosedLoop(service, 1).run(slice)
            val calmForwarded = ClosedLoop(entry, 1).run(slice)
            ExperimentReport(
                name = name,
                bound = bound,
                seed = options.seed,
                measurements =
                    listOf(
                        Measurement("throughput, $CALLERS callers", "calls/s", direct.callsPerSecond, forwarded.callsPerSecond),
                        Measurement("p50, $CALLERS callers", "us", direct.p50Micros, forwarded.p50Micros),
                        Measurement("p99, $CALLERS callers", "us", direct.p99Micros, forwarded.p99Micros),
                        Measurement(
                            "processor time of the JVM per call",
                            "us",
                            direct.processorMicrosPerCall,
                            forwarded.processorMicrosPerCall,
                        ),
                        Measurement("p50, 1 caller", "us", calmDirect.p50Micros, calmForwarded.p50Micros),
                        Measurement("p99, 1 caller", "us", calmDirect.p99Micros, calmForwarded.p99Micros),
                    ),
                violations =
                    listOf("direct" to direct, "forwarded" to forwarded, "forwarded by one caller" to calmForwarded)
                        .filter { it.second.failures > 0 }
                        .map { "${it.second.failures} ${it.first} calls failed" },
            )
        }

    private companion object {
        const val CALLERS = 32
        const val SLICES = 5L
    }
}
