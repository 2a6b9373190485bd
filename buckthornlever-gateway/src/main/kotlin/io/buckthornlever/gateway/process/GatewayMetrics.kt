package io.buckthornlever.gateway.process

import io.buckthornlever.core.serving.PlacementObstacle
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

/** Prometheus metrics of one gateway process: counters, a latency histogram and gauges. */
internal class GatewayMetrics {
    private val registry = PrometheusRegistry()
    private val finishedCounter =
        Counter
            .builder()
            .name("buckthornlever_requests_finished")
            .help("Requests by outcome")
            .labelNames("outcome")
            .register(registry)
    private val refusedCounter =
        Counter
            .builder()
            .name("buckthornlever_requests_refused")
            .help("Requests refused before they were placed, by reason")
            .labelNames("reason")
            .register(registry)
    private val obstructedCounter =
        Counter
            .builder()
            .name("buckthornlever_upstreams_obstructed")
            .help("Upstreams that could not take a request for which no upstream was found in time, by service and reason")
            .labelNames("service", "obstacle")
            .register(registry)
    private val latencyHistogram =
        Histogram
            .builder()
            .name("buckthornlever_request_seconds")
            .help("Time from the head of a request to the end of its answer")
            .classicOnly()
            .classicUpperBounds(*LATENCY_BUCKETS)
            .register(registry)

    /** Counts a finished request with its outcome and records its latency in milliseconds. */
    fun recordFinished(
        outcome: String,
        millis: Long,
    ) {
        finishedCounter.labelValues(outcome).inc()
        latencyHistogram.observe(millis / MILLIS_PER_SECOND)
    }

    /** Counts a request that was refused before it was placed. */
    fun recordRefused(reason: String): Unit = refusedCounter.labelValues(reason).inc()

    /** Counts [count] upstreams of [service] that [obstacle] kept from taking a request which then had to be given up. */
    fun recordObstructed(
        service: String,
        obstacle: PlacementObstacle,
        count: Int,
    ): Unit = obstructedCounter.labelValues(service, obstacle.name.lowercase()).inc(count.toLong())

    /** Registers a gauge whose value is computed on each scrape. */
    fun registerGauge(
        name: String,
        help: String,
        value: () -> Double,
    ) {
        GaugeWithCallback
            .builder()
            .name(name)
            .help(help)
            .callback { it.call(value()) }
            .register(registry)
    }

    /** Returns all metrics in the Prometheus text format. */
    fun prometheusText(): ByteArray {
        val out = ByteArrayOutputStream()
        PrometheusTextFormatWriter.builder().build().write(out, registry.scrape())
        return out.toByteArray()
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        val LATENCY_BUCKETS = doubleArrayOf(0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0)
    }
}
