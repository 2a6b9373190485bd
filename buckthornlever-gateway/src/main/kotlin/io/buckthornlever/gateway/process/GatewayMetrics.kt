package io.buckthornlever.gateway.process

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

/** Counters and latency histograms of one process. */
internal class GatewayMetrics {
    private val registry = PrometheusRegistry()
    private val recordFinished =
        Counter
            .builder()
            .name("buckthornlever_requests_finished")
            .help("Requests by outcome")
            .labelNames("outcome")
            .register(registry)
    private val recordRefused =
        Counter
            .builder()
            .name("buckthornlever_requests_refused")
            .help("Requests refused before they were placed, by reason")
            .labelNames("reason")
            .register(registry)
    private val latency =
        Histogram
            .builder()
            .name("buckthornlever_request_seconds")
            .help("Time from the head of a request to the end of its answer")
            .classicOnly()
            .classicUpperBounds(*LATENCY_BOUNDS)
            .register(registry)

    fun recordFinished(
        outcome: String,
        millis: Long,
    ) {
        recordFinished.labelValues(outcome).inc()
        latency.observe(millis / MILLIS_PER_SECOND)
    }

    fun recordRefused(reason: String): Unit = recordRefused.labelValues(reason).inc()

    fun gauge(
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

    fun text(): ByteArray {
        val out = ByteArrayOutputStream()
        PrometheusTextFormatWriter.builder().build().write(out, registry.scrape())
        return out.toByteArray()
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        val LATENCY_BOUNDS = doubleArrayOf(0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0)
    }
}
