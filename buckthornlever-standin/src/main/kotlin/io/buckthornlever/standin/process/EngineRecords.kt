package io.buckthornlever.standin.process

import io.buckthornlever.standin.request.CrashCause
import io.buckthornlever.standin.request.EngineArrival
import io.buckthornlever.standin.request.EngineCrash
import io.buckthornlever.standin.request.EngineExecution
import io.buckthornlever.standin.request.EngineOrder
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/** What an [EngineStandIn] received and executed. */
public class EngineRecords {
    private val arrived = ConcurrentLinkedQueue<EngineArrival>()
    private val finished = ConcurrentLinkedQueue<EngineExecution>()
    private val received = ConcurrentLinkedQueue<EngineOrder>()
    private val deaths = ConcurrentLinkedQueue<EngineCrash>()
    private val cancelCalls = AtomicInteger()
    private val foreign = AtomicInteger()
    private val silent = AtomicInteger()
    private val exported = AtomicInteger()
    private val imported = AtomicInteger()
    private val wrongResumes = AtomicInteger()

    /** Completion requests in the order of arrival, refused ones included. */
    public val arrivals: List<EngineArrival>
        get() = arrived.toList()

    /** Finished executions in the order of their end. */
    public val executions: List<EngineExecution>
        get() = finished.toList()

    /** Orders in the order of arrival. */
    public val orders: List<EngineOrder>
        get() = received.toList()

    /** Deaths of the engine. */
    public val crashes: List<EngineCrash>
        get() = deaths.toList()

    /** Cancel calls that named a request in flight. */
    public val cancels: Int
        get() = cancelCalls.get()

    /** Answers or chunks that were sent with the id of another request. */
    public val foreignChunks: Int
        get() = foreign.get()

    /** Streams that went silent by [EngineFaults.silenceStreams]. */
    public val silencedStreams: Int
        get() = silent.get()

    /** KV caches exported. */
    public val kvExports: Int
        get() = exported.get()

    /** KV caches imported. */
    public val kvImports: Int
        get() = imported.get()

    /** Requests whose resumed tokens differ from those that this prompt and seed produce. */
    public val mismatchedResumes: Int
        get() = wrongResumes.get()

    /** Number of deaths by [cause]. */
    public fun crashes(cause: CrashCause): Int = deaths.count { it.cause == cause }

    internal fun arrived(arrival: EngineArrival) {
        arrived.add(arrival)
    }

    internal fun finished(execution: EngineExecution) {
        finished.add(execution)
    }

    internal fun ordered(order: EngineOrder) {
        received.add(order)
    }

    internal fun crashed(crash: EngineCrash) {
        deaths.add(crash)
    }

    internal fun cancelled() {
        cancelCalls.incrementAndGet()
    }

    internal fun foreignChunk() {
        foreign.incrementAndGet()
    }

    internal fun silenced() {
        silent.incrementAndGet()
    }

    internal fun exported() {
        exported.incrementAndGet()
    }

    internal fun imported() {
        imported.incrementAndGet()
    }

    internal fun mismatchedResume() {
        wrongResumes.incrementAndGet()
    }
}
