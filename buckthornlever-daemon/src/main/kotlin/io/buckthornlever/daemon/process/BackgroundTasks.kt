package io.buckthornlever.daemon.process

import io.buckthornlever.gateway.process.EventLog
import java.time.Duration
import java.util.concurrent.Executors
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.locks.LockSupport

/** Store operations that go on after their caller has its answer. */
internal class BackgroundTasks(
    private val log: EventLog,
) : AutoCloseable {
    private val pending = AtomicInteger()
    private val timer = Executors.newScheduledThreadPool(THREADS) { Thread(it, "background").apply { isDaemon = true } }

    /** Tasks that wait or run. */
    val open: Int get() = pending.get()

    /** Runs [task] after [delayMillis]. */
    fun schedule(
        delayMillis: Long,
        task: () -> Unit,
    ) {
        pending.incrementAndGet()
        try {
            timer.schedule({ run(task) }, delayMillis, TimeUnit.MILLISECONDS)
        } catch (e: RejectedExecutionException) {
            pending.decrementAndGet()
        }
    }

    /** Runs [task] every [period] until the daemon stops. */
    fun repeat(
        period: Duration,
        task: () -> Unit,
    ) {
        timer.scheduleWithFixedDelay({ guarded(task) }, period.toMillis(), period.toMillis(), TimeUnit.MILLISECONDS)
    }

    /** Waits up to [limit] until no task is left. */
    fun drain(limit: Duration) {
        val end = System.nanoTime() + limit.toNanos()
        while (open > 0 && System.nanoTime() < end) LockSupport.parkNanos(POLL_NANOS)
    }

    override fun close() {
        timer.shutdownNow()
    }

    private fun run(task: () -> Unit) {
        try {
            guarded(task)
        } finally {
            pending.decrementAndGet()
        }
    }

    private fun guarded(task: () -> Unit) {
        try {
            task()
        } catch (e: RuntimeException) {
            log.writeFailure(LogEvent.INTERNAL_ERROR, e, "task" to "background")
        }
    }

    private companion object {
        const val THREADS = 4
        const val POLL_NANOS = 5_000_000L
    }
}
