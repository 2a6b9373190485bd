package io.buckthornlever.bench.request

import com.sun.management.OperatingSystemMXBean
import io.buckthornlever.bench.process.SiteTables
import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram
import java.lang.management.ManagementFactory
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.atomic.AtomicLong

/** Sends the same lookup from a fixed number of callers, each waiting for its answer before the next call. */
internal class ClosedLoop(
    private val url: String,
    private val callers: Int,
) {
    private val failures = AtomicLong()
    private val processor = ManagementFactory.getOperatingSystemMXBean() as OperatingSystemMXBean

    /** Runs for [duration] and returns the latencies in microseconds and the throughput. */
    fun run(duration: Duration): Outcome {
        val histogram = ConcurrentHistogram(MAX_LATENCY_MICROS, PRECISION_DIGITS)
        val cpuBefore = processor.processCpuTime
        val end = System.nanoTime() + duration.toNanos()
        val threads = (0 until callers).map { Thread { loop(histogram, end) }.apply { start() } }
        threads.forEach { it.join() }
        val cpuMicros = (processor.processCpuTime - cpuBefore) / NANOS_PER_MICRO.toDouble()
        return Outcome(
            histogram,
            histogram.totalCount / (duration.toNanos() / NANOS_PER_SECOND),
            failures.get(),
            cpuMicros / histogram.totalCount,
        )
    }

    private fun loop(
        histogram: Histogram,
        end: Long,
    ) {
        // One connection for each caller, so that the load tool's own pool is not measured.
        val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
        val request =
            HttpRequest
                .newBuilder(URI.create(url))
                .header("Authorization", "Bearer ${SiteTables.apiKey(0)}")
                .header("X-Standin-Key", "forward")
                .build()
        while (System.nanoTime() < end) {
            val start = System.nanoTime()
            val status = client.send(request, HttpResponse.BodyHandlers.ofByteArray()).statusCode()
            if (status != OK) failures.incrementAndGet()
            histogram.recordValue(((System.nanoTime() - start) / NANOS_PER_MICRO).coerceIn(1, MAX_LATENCY_MICROS))
        }
    }

    /**
     * Result of one run.
     *
     * @property processorMicrosPerCall processor time of the whole JVM for each call: callers, stand-in and entry instance
     */
    internal class Outcome(
        private val histogram: Histogram,
        val callsPerSecond: Double,
        val failures: Long,
        val processorMicrosPerCall: Double,
    ) {
        val p50Micros: Double get() = histogram.getValueAtPercentile(50.0).toDouble()
        val p99Micros: Double get() = histogram.getValueAtPercentile(99.0).toDouble()
    }

    private companion object {
        const val MAX_LATENCY_MICROS = 60_000_000L
        const val PRECISION_DIGITS = 3
        const val NANOS_PER_SECOND = 1e9
        const val NANOS_PER_MICRO = 1_000L
        const val OK = 200
    }
}
