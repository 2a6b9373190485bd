package io.buckthornlever.bench.process

import io.buckthornlever.api.process.FailureDomain
import java.time.Duration
import java.time.Instant
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CopyOnWriteArraySet
import java.util.concurrent.atomic.AtomicInteger

/** What was done to a site during a run, for the checks that follow. */
internal class EventRecord {
    /** Reclaim notices of engines. */
    val reclaims = ConcurrentLinkedQueue<Reclaim>()

    /** Times during which operators had a failure domain out of service. */
    val domainsOut = ConcurrentLinkedQueue<DomainOut>()

    /** Engines that turned cold without announcement, with the time. */
    val coldTurns = ConcurrentLinkedQueue<Pair<Int, Instant>>()

    /** Numbers of the entry instances that were shut down gracefully. */
    val closedInstances = CopyOnWriteArraySet<Int>()

    /** Times from the start of an operator's change until it was in effect everywhere. */
    val changeTimes = ConcurrentLinkedQueue<Duration>()

    /** Samples in which an instance showed an older revision than before. */
    val revisionReverts = AtomicInteger()

    /**
     * A reclaim notice.
     *
     * @property endAt when the engine stops
     */
    internal data class Reclaim(
        val engine: Int,
        val noticeAt: Instant,
        val endAt: Instant,
    )

    /**
     * A time during which a failure domain was out of service.
     *
     * @property from when the change was in effect on every instance that was up
     */
    internal data class DomainOut(
        val domain: FailureDomain,
        val from: Instant,
        val until: Instant,
    )
}
