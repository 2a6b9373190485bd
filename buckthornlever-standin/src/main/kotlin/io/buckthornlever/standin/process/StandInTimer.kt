package io.buckthornlever.standin.process

import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** Runs delayed actions of a stand-in; actions that are due after [close] do not run. */
internal class StandInTimer : AutoCloseable {
    private val executor = Executors.newSingleThreadScheduledExecutor { Thread(it, "standin-timer").apply { isDaemon = true } }

    fun after(
        millis: Long,
        action: () -> Unit,
    ) {
        executor.schedule(action, millis, TimeUnit.MILLISECONDS)
    }

    override fun close() {
        executor.shutdownNow()
    }
}
