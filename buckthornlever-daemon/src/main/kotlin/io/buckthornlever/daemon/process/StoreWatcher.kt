package io.buckthornlever.daemon.process

import com.github.michaelbull.result.fold
import io.buckthornlever.api.process.ObjectListing
import io.buckthornlever.api.process.ObjectStore
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.process.StoreError
import java.time.Duration
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.random.RandomGenerator

/** Thread that follows the stored tables by list and watch, with jittered backoff while the store is unavailable. */
internal class StoreWatcher(
    private val store: ObjectStore,
    private val configuration: ConfigurationHolder,
    private val log: EventLog,
    private val random: RandomGenerator,
) : AutoCloseable {
    private val stopped = CountDownLatch(1)
    private val thread = Thread(::follow, "store-watcher").apply { isDaemon = true }
    private var failures = 0

    fun start() {
        thread.start()
    }

    override fun close() {
        stopped.countDown()
        thread.interrupt()
    }

    private fun follow() {
        var since: ObjectVersion? = null
        while (stopped.count > 0) {
            val from = since
            val answer = if (from == null) store.list(PREFIX) else store.watch(PREFIX, from, WAIT)
            since = answer.fold(success = { accept(it, from) }, failure = { backOff(it, from) })
        }
    }

    private fun accept(
        listing: ObjectListing,
        from: ObjectVersion?,
    ): ObjectVersion {
        if (failures > 0) log.write(LogEvent.STORE_AVAILABLE, "failures" to failures)
        failures = 0
        listing.objects.forEach(configuration::offer)
        return maxOf(from ?: listing.revision, listing.revision)
    }

    private fun backOff(
        error: StoreError,
        from: ObjectVersion?,
    ): ObjectVersion? {
        if (stopped.count == 0L) return from
        if (failures++ == 0) log.write(LogEvent.STORE_UNAVAILABLE, "error" to error)
        val ceiling = minOf(MAX_BACKOFF_MILLIS, MIN_BACKOFF_MILLIS shl minOf(failures, MAX_SHIFT))
        try {
            stopped.await(random.nextLong(MIN_BACKOFF_MILLIS, ceiling + 1), TimeUnit.MILLISECONDS)
        } catch (e: InterruptedException) {
            Thread.currentThread().interrupt()
        }
        return from
    }

    private companion object {
        const val PREFIX = "config/"
        val WAIT: Duration = Duration.ofSeconds(10)
        const val MIN_BACKOFF_MILLIS = 50L
        const val MAX_BACKOFF_MILLIS = 1_000L
        const val MAX_SHIFT = 5
    }
}
