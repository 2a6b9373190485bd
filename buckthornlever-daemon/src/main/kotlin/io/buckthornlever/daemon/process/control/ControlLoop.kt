package io.buckthornlever.daemon.process.control

import io.buckthornlever.api.process.Clock
import io.buckthornlever.core.process.membership.Moment
import org.jctools.queues.MpscBlockingConsumerArrayQueue
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.LongAdder

/** Runs the only thread that changes control state. Other threads pass actions to it through a bounded queue. */
internal class ControlLoop(
    name: String,
    private val clock: Clock,
    private val period: Duration,
    private val tick: (Moment) -> Unit,
    private val onError: (Throwable) -> Unit,
) : AutoCloseable {
    private val queue = MpscBlockingConsumerArrayQueue<(Moment) -> Unit>(CAPACITY)
    private val thread = Thread(::run, name).apply { isDaemon = true }
    private val drops = LongAdder()

    @Volatile
    private var stopped = false

    /** Number of actions that were dropped because the queue was full. */
    val dropped: Long get() = drops.sum()

    fun start() = thread.start()

    /** Queues [action]; when the queue is full, the action is dropped and counted and the result is false. */
    fun post(action: (Moment) -> Unit): Boolean {
        val accepted = queue.offer(action)
        if (!accepted) drops.increment()
        return accepted
    }

    /** Runs [action] on the control thread and waits for its result; null when the queue is full or after a timeout of 2 s. */
    fun <T : Any> call(action: (Moment) -> T): T? {
        val future = CompletableFuture<T>()
        val posted = post { now -> future.complete(action(now)) }
        return if (posted) future.completeOnTimeout(null, CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).get() else null
    }

    override fun close() {
        stopped = true
        queue.offer { }
        thread.join(CALL_TIMEOUT_MILLIS)
    }

    private fun run() {
        var next = clock.monotonicNanos()
        while (!stopped) {
            val wait = next - clock.monotonicNanos()
            val action = if (wait > 0) queue.poll(wait, TimeUnit.NANOSECONDS) else null
            if (action != null) runCatchingErrors(action)
            if (clock.monotonicNanos() >= next) {
                next = clock.monotonicNanos() + period.toNanos()
                runCatchingErrors(tick)
                queue.drain({ runCatchingErrors(it) }, BATCH)
            }
        }
    }

    private fun runCatchingErrors(action: (Moment) -> Unit) {
        try {
            action(Moment.of(clock))
        } catch (e: RuntimeException) {
            onError(e)
        }
    }

    private companion object {
        const val CAPACITY = 8_192
        const val BATCH = 1_024
        const val CALL_TIMEOUT_MILLIS = 2_000L
    }
}
