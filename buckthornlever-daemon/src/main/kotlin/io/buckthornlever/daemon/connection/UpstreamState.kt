package io.buckthornlever.daemon.connection

import io.buckthornlever.api.connection.LoadReport
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.core.connection.UpstreamStatus
import java.util.concurrent.atomic.AtomicInteger

/** What this instance knows about one upstream; written by request threads and the load poller. */
internal class UpstreamState {
    val inFlight = AtomicInteger()
    private val failures = AtomicInteger()

    @Volatile
    var loadReport: LoadReport? = null

    val healthy: Boolean get() = failures.get() < SUSPECT_AFTER_FAILURES

    /** Counts a failed call; returns true when the upstream becomes suspect because of it. */
    fun recordFailure(): Boolean = failures.incrementAndGet() == SUSPECT_AFTER_FAILURES

    /** Resets the failure count after a success; returns true when the upstream was suspect. */
    fun recordSuccess(): Boolean = failures.getAndSet(0) >= SUSPECT_AFTER_FAILURES

    fun status(spec: UpstreamSpec): UpstreamStatus {
        val last = loadReport
        val cold = last?.cold ?: false
        return UpstreamStatus(
            inFlight = inFlight.get(),
            reportedLoad = last?.let { it.running + it.waiting } ?: 0,
            capacity = if (cold) spec.coldConcurrency else spec.concurrency,
            cold = cold,
            leaving = last?.leaving ?: false,
            healthy = healthy,
        )
    }

    private companion object {
        const val SUSPECT_AFTER_FAILURES = 2
    }
}
