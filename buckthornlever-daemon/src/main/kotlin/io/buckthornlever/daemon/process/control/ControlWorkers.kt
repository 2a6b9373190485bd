package io.buckthornlever.daemon.process.control

import java.util.concurrent.ExecutorService
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit

/**
 * Thread pools for blocking calls. Watches and connection tests have their own pools, so that a long poll or many unreachable members
 * do not delay table pulls and lease writes.
 *
 * @param onError receives unexpected errors of tasks
 */
internal class ControlWorkers(
    private val name: String,
    private val onError: (Throwable) -> Unit,
) : AutoCloseable {
    private val calls = pool("calls", CALL_THREADS, QUEUED_CALLS)
    private val watches = pool("watch", 1, 1)
    private val tests = pool("tests", TEST_THREADS, QUEUED_TESTS)

    @Volatile
    private var closed = false

    /** Runs a short call. */
    fun run(task: () -> Unit) = calls.execute { runCatchingErrors(task) }

    /** Runs a watch, which may wait long for a change. */
    fun watch(task: () -> Unit) = watches.execute { runCatchingErrors(task) }

    /** Runs a connection test; it is dropped when the queue is full, because its result only refines the assessment of a member. */
    fun test(task: () -> Unit) = tests.execute { runCatchingErrors(task) }

    /** Lets short calls finish, such as the write that gives up a lease, for up to 1 s and interrupts all others. */
    override fun close() {
        calls.shutdown()
        calls.awaitTermination(CLOSE_WAIT_MILLIS, TimeUnit.MILLISECONDS)
        closed = true
        listOf(calls, watches, tests).forEach { it.shutdownNow() }
    }

    private fun runCatchingErrors(task: () -> Unit) {
        try {
            task()
        } catch (e: InterruptedException) {
            Thread.currentThread().interrupt()
        } catch (e: RuntimeException) {
            if (!closed) onError(e)
        }
    }

    private fun pool(kind: String, threads: Int, queued: Int): ExecutorService =
        ThreadPoolExecutor(
            threads,
            threads,
            IDLE_SECONDS,
            TimeUnit.SECONDS,
            LinkedBlockingQueue(queued),
            { Thread(it, "$name-control-$kind").apply { isDaemon = true } },
            ThreadPoolExecutor.DiscardPolicy(),
        ).apply { allowCoreThreadTimeOut(true) }

    private companion object {
        const val CALL_THREADS = 4
        const val TEST_THREADS = 2
        const val QUEUED_CALLS = 256
        const val QUEUED_TESTS = 32
        const val IDLE_SECONDS = 30L
        const val CLOSE_WAIT_MILLIS = 1_000L
    }
}
