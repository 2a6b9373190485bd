package io.buckthornlever.gateway.process

import io.buckthornlever.api.process.Clock
import io.buckthornlever.core.serving.LoadFigureExchange
import io.buckthornlever.core.serving.MessageDelays
import io.buckthornlever.core.serving.UpstreamBalancer
import java.time.Duration

/** Puts load figures of upstreams into the messages between instances, and takes them from there. */
internal class LoadSharing(
    private val settings: GatewaySettings,
    private val clock: Clock,
    balancer: UpstreamBalancer,
) {
    private val isEnabled = settings.isEnabled(Feature.LOAD_SHARING)

    // A choice among all upstreams by fixed weights would send the requests of all instances to the same one.
    private val usesFigures = isEnabled && settings.isEnabled(Feature.EXPECTED_TIME)
    private val exchange = LoadFigureExchange(balancer)
    private val delays = MessageDelays()

    /** Figures for the next message to the lease holder; null if there are none. */
    fun own(): SharedLoads? = share { exchange.takeOwn(it, MAX_BYTES) }

    /** Figures for the next overview, which goes to [instances] instances each [interval]; null if there are none. */
    fun all(
        instances: Int,
        interval: Duration,
    ): SharedLoads? {
        val maxBytes = LoadFigureExchange.overviewBytes(settings.linkMegabits, instances, interval)
        return share { exchange.takeAll(it, maxBytes) }
    }

    /** Handles the figures of a message from the process of [sender] that began at [incarnation]. */
    fun onReceived(
        sender: String,
        incarnation: Long,
        loads: SharedLoads?,
    ) {
        if (loads == null || !usesFigures) return
        val now = clock.monotonicNanos()
        exchange.onReceived(loads.figures, now - delays.delayNanos(sender, incarnation, loads.sentNanos, now))
    }

    private fun share(take: (Long) -> ByteArray): SharedLoads? {
        if (!isEnabled) return null
        val now = clock.monotonicNanos()
        return take(now).takeIf { it.isNotEmpty() }?.let { SharedLoads(now, it) }
    }

    private companion object {
        /** Figures of some 400 upstreams; an instance hears of fewer between two messages. */
        const val MAX_BYTES = 4_096
    }
}
