package io.buckthornlever.daemon.connection

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.buckthornlever.api.connection.UpstreamClient
import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.core.process.UpstreamEvent
import io.buckthornlever.daemon.process.ConfigurationHolder
import io.buckthornlever.daemon.process.LogEvent
import io.buckthornlever.gateway.process.EventLog
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** Reads the load of every upstream at a fixed interval; a slow upstream delays only its own reading. */
internal class LoadPoller(
    private val client: UpstreamClient,
    private val configuration: ConfigurationHolder,
    private val upstreams: UpstreamRegistry,
    private val log: EventLog,
    private val events: (UpstreamId, UpstreamEvent) -> Unit = { _, _ -> },
) : AutoCloseable {
    private val timer = Executors.newSingleThreadScheduledExecutor { daemonThread(it, "load-timer") }
    private val workers = Executors.newFixedThreadPool(WORKERS) { daemonThread(it, "load-poller") }
    private val running = ConcurrentHashMap.newKeySet<UpstreamSpec>()

    fun start() {
        timer.scheduleAtFixedRate(::poll, 0, INTERVAL.toMillis(), TimeUnit.MILLISECONDS)
    }

    override fun close() {
        timer.shutdownNow()
        workers.shutdownNow()
    }

    private fun poll() {
        val specs = configuration.get().pools.pools.flatMap { it.upstreams }.distinctBy { it.id }
        upstreams.retain(specs.mapTo(HashSet()) { it.id })
        specs.filter(running::add).forEach { spec -> workers.execute { read(spec) } }
    }

    private fun read(spec: UpstreamSpec) {
        try {
            val state = upstreams.stateOf(spec)
            client
                .fetchLoad(spec)
                .onSuccess {
                    state.report = it
                    events(spec.id, UpstreamEvent.Reported(it.capacity, it.cold, it.leaving))
                    if (state.succeeded()) log.write(LogEvent.UPSTREAM_HEALTHY, "upstream" to spec.id)
                }.onFailure {
                    events(spec.id, UpstreamEvent.Failed)
                    if (state.failed()) log.write(LogEvent.UPSTREAM_SUSPECT, "upstream" to spec.id, "error" to it)
                }
        } finally {
            running -= spec
        }
    }

    private fun daemonThread(
        task: Runnable,
        name: String,
    ): Thread = Thread(task, name).apply { isDaemon = true }

    private companion object {
        val INTERVAL: Duration = Duration.ofMillis(500)
        const val WORKERS = 4
    }
}
