package io.buckthornlever.gateway.process

import io.buckthornlever.core.serving.AdmissionObstacle
import io.buckthornlever.core.serving.CallerRefusal
import io.buckthornlever.core.serving.PlacementObstacle
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import java.time.Duration

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
    private val storeCallsCounter =
        Counter
            .builder()
            .name("buckthornlever_store_calls")
            .help("Calls to the store, by kind of object, verb and cause")
            .labelNames("kind", "verb", "cause")
            .register(registry)
    private val heldCounter =
        Counter
            .builder()
            .name("buckthornlever_requests_held")
            .help("Requests that waited at the gateway since their service was overloaded")
            .labelNames("service")
            .register(registry)
    private val overloadRefusalCounter =
        Counter
            .builder()
            .name("buckthornlever_overload_refusals")
            .help("Requests refused since their service was overloaded, by service and reason")
            .labelNames("service", "obstacle")
            .register(registry)
    private val loadCheckCounter =
        Counter
            .builder()
            .name("buckthornlever_load_checks")
            .help("Upstreams asked for their load before a stream was placed, by what came of it in time")
            .labelNames("outcome")
            .register(registry)
    private val callerLimitCounter =
        Counter
            .builder()
            .name("buckthornlever_caller_limit")
            .help("Callers refused or closed to bound what they make the process hold, by reason")
            .labelNames("reason")
            .register(registry)
    private val latencyHistogram =
        Histogram
            .builder()
            .name("buckthornlever_request_seconds")
            .help("Time from the head of a request to the end of its answer")
            .classicOnly()
            .classicUpperBounds(*LATENCY_BUCKETS)
            .register(registry)

    private val firstOutputHistogram =
        Histogram
            .builder()
            .name("buckthornlever_first_output_seconds")
            .help("Time from the sending of a request to the first event of its stream")
            .classicOnly()
            .classicUpperBounds(*LATENCY_BUCKETS)
            .register(registry)
    private val expectedRatioHistogram =
        Histogram
            .builder()
            .name("buckthornlever_first_output_ratio")
            .help("Time to the first event of a stream, as a multiple of the expected time")
            .classicOnly()
            .classicUpperBounds(*RATIO_BUCKETS)
            .register(registry)

    /** Records the [time] to the first event of a stream that was [expected] to have it after another time. */
    fun recordFirstOutput(
        time: Duration,
        expected: Duration,
    ) {
        firstOutputHistogram.observe(time.toNanos() / NANOS_PER_SECOND)
        expectedRatioHistogram.observe(time.toNanos().toDouble() / maxOf(1L, expected.toNanos()))
    }

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

    /** Counts a request to [service] that waits since the service is overloaded. */
    fun recordHeld(service: String): Unit = heldCounter.labelValues(service).inc()

    /** Counts a request to [service] that is refused for [obstacle]. */
    fun recordOverloadRefusal(
        service: String,
        obstacle: AdmissionObstacle,
    ): Unit = overloadRefusalCounter.labelValues(service, obstacle.name.lowercase()).inc()

    /** Counts a caller that was refused or closed to bound what callers make the process hold. */
    fun recordCallerLimit(reason: CallerRefusal): Unit = callerLimitCounter.labelValues(reason.name.lowercase()).inc()

    /** Counts [count] upstreams of [service] that [obstacle] kept from taking a request which then had to be given up. */
    fun recordObstructed(
        service: String,
        obstacle: PlacementObstacle,
        count: Int,
    ): Unit = obstructedCounter.labelValues(service, obstacle.name.lowercase()).inc(count.toLong())

    /** Counts a call with [verb] to objects of [kind] in the store. */
    fun recordStoreCall(
        kind: String,
        verb: String,
        cause: StoreCallCause,
    ): Unit = storeCallsCounter.labelValues(kind, verb, cause.key).inc()

    /** Counts a check of an upstream's load. */
    fun recordLoadCheck(outcome: String): Unit = loadCheckCounter.labelValues(outcome).inc()

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
        const val NANOS_PER_SECOND = 1e9
        val RATIO_BUCKETS = doubleArrayOf(0.25, 0.5, 0.7, 1.0, 1.4, 2.0, 4.0, 8.0)
        val LATENCY_BUCKETS = doubleArrayOf(0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0)
    }
}
