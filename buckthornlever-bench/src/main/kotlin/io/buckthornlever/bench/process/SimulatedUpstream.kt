package io.buckthornlever.bench.process

import io.buckthornlever.api.process.UpstreamSpec
import java.time.Duration
import java.time.Instant

/**
 * Upstream that refuses calls above its current capacity and warms up in steps of a given length.
 *
 * @property warmStep time after which the capacity of a cold upstream doubles
 */
internal class SimulatedUpstream(
    val spec: UpstreamSpec,
    private val warmStep: Duration,
) {
    val running = LinkedHashSet<SimulatedCall>()
    var up = true
        private set
    var leaving = false

    /** Calls that arrived while the capacity was in use. */
    var overLimit = 0
        private set
    private var startedAt: Instant? = null

    fun capacity(now: Instant): Int {
        val started = startedAt ?: return spec.concurrency
        val doublings = Duration.between(started, now).dividedBy(warmStep).coerceAtMost(MAX_DOUBLINGS).toInt()
        return (spec.coldConcurrency shl doublings).coerceAtMost(spec.concurrency)
    }

    fun accepts(now: Instant): Boolean {
        if (running.size < capacity(now)) return true
        overLimit++
        return false
    }

    /** Ends with everything that runs on it; returns what was running. */
    fun end(): List<SimulatedCall> {
        up = false
        return running.toList().also { running.clear() }
    }

    fun start(now: Instant) {
        up = true
        leaving = false
        startedAt = now
    }

    private companion object {
        const val MAX_DOUBLINGS = 20L
    }
}
