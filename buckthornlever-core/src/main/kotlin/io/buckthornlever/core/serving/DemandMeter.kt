package io.buckthornlever.core.serving

import java.time.Duration

/** Prompt tokens that callers of all instances ask of each service. Not thread-safe. */
public class DemandMeter {
    private val totals = HashMap<String, Double>()
    private val peers = HashMap<String, Peer>()
    private val recent = HashMap<String, SlidingSum>()

    /** Tokens asked of this instance since its start, by service. */
    public val ownTotals: Map<String, Double> get() = totals

    /** A request with [tokens] prompt tokens has arrived for [service]. */
    public fun onRequest(
        service: String,
        tokens: Int,
        nanos: Long,
    ) {
        totals.merge(service, tokens.toDouble(), Double::plus)
        add(service, tokens.toDouble(), nanos)
    }

    /** Takes the [totals] of [peer] since its start, its [incarnation]; the first word of a peer only sets the base. */
    public fun updatePeer(
        peer: String,
        incarnation: Long,
        totals: Map<String, Double>,
        nanos: Long,
    ) {
        val known = peers[peer]?.takeIf { it.incarnation == incarnation }
        if (known != null) {
            for ((service, total) in totals) add(service, maxOf(0.0, total - (known.totals[service] ?: 0.0)), nanos)
        }
        peers[peer] = Peer(incarnation, totals)
    }

    /** Tokens per second asked of [service] lately. */
    public fun tokensPerSecond(
        service: String,
        nanos: Long,
    ): Double = (recent[service]?.sum(nanos) ?: 0.0) / WINDOW.toSeconds()

    private fun add(
        service: String,
        tokens: Double,
        nanos: Long,
    ): Unit = recent.getOrPut(service) { SlidingSum(WINDOW.toNanos()) }.add(tokens, nanos)

    private class Peer(
        val incarnation: Long,
        val totals: Map<String, Double>,
    )

    private companion object {
        /** Long enough to smooth single large prompts, short beside the time in which ordered upstreams start. */
        val WINDOW: Duration = Duration.ofSeconds(4)
    }
}
