package io.buckthornlever.daemon.process

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.prometheus.metrics.model.snapshots.Unit
import java.io.ByteArrayOutputStream

/** Metrics of one daemon in a registry of their own, so that several daemons can run in one JVM. */
internal class DaemonMetrics {
    private val registry = PrometheusRegistry()

    val requests: Counter =
        Counter
            .builder()
            .name("buckthornlever_requests_total")
            .help("Answered requests by route and outcome code")
            .labelNames("route", "outcome")
            .register(registry)
    val requestSeconds: Histogram =
        Histogram
            .builder()
            .name("buckthornlever_request_seconds")
            .unit(Unit.SECONDS)
            .help("Time from the request's head to the end of the answer")
            .labelNames("route")
            .register(registry)
    val attempts: Counter =
        Counter
            .builder()
            .name("buckthornlever_attempts_total")
            .help("Calls to upstreams by pool result")
            .labelNames("result")
            .register(registry)
    val open: Gauge =
        Gauge
            .builder()
            .name("buckthornlever_open_requests")
            .help("Requests in execution")
            .register(registry)
    val revision: Gauge =
        Gauge
            .builder()
            .name("buckthornlever_configuration_revision")
            .help("Revision of each table in effect")
            .labelNames("table")
            .register(registry)

    /** Returns all metrics in the Prometheus text format. */
    fun text(): String {
        val out = ByteArrayOutputStream()
        @Suppress("DEPRECATION")
        PrometheusTextFormatWriter.create().write(out, registry.scrape())
        return out.toString(Charsets.UTF_8)
    }
}
