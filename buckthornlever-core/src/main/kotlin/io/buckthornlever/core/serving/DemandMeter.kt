package io.buckthornlever.core.serving

import java.time.Duration

/** Measures the demand for each service over all instances, in prompt tokens. Not thread-safe. */
public class DemandMeter {
    private val totals = HashMap<String, Double>()
    private val peers = HashMap<String, PeerTotals>()
    private val recent = HashMap<String, SlidingWindowSum>()
    private val announced = HashMap<String, Announced>()

    /** Prompt tokens requested from this instance since its start, by service. */
    public val ownTotals: Map<String, Double> get() = totals

    /** Counts a request for [service] with [tokens] prompt tokens. */
    public fun onRequest(
        service: String,
        tokens: Int,
        nanos: Long,
    ) {
        totals.merge(service, tokens.toDouble(), Double::plus)
        add(service, tokens.toDouble(), nanos)
    }

    /** Updates the [totals] of [peer] since the start of its [incarnation]. The first totals of an incarnation only set the baseline. */
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
        peers[peer] = PeerTotals(incarnation, totals)
    }

    /** Records [rates] in prompt tokens per second by service, as measured by the instance that gathers the totals of all others. */
    public fun onAnnounced(
        rates: Map<String, Double>,
        nanos: Long,
    ): Unit = rates.forEach { (service, rate) -> announced[service] = Announced(rate, nanos) }

    /**
     * Prompt tokens per second requested from [service], averaged over [WINDOW]. Just after this instance has begun to gather the
     * totals of the others it knows only part of the demand; the rate announced by its predecessor then counts if it is higher.
     */
    public fun tokensPerSecond(
        service: String,
        nanos: Long,
    ): Double {
        val measured = (recent[service]?.sum(nanos) ?: 0.0) / WINDOW.toSeconds()
        val previous = announced[service]?.takeIf { nanos - it.atNanos <= ANNOUNCEMENT_VALIDITY.toNanos() }?.rate ?: 0.0
        return maxOf(measured, previous)
    }

    private fun add(
        service: String,
        tokens: Double,
        nanos: Long,
    ): Unit = recent.getOrPut(service) { SlidingWindowSum(WINDOW.toNanos()) }.add(tokens, nanos)

    private class Announced(
        val rate: Double,
        val atNanos: Long,
    )

    private class PeerTotals(
        val incarnation: Long,
        val totals: Map<String, Double>,
    )

    private companion object {
        /** Long enough to smooth out single large prompts, short compared with the start time of an ordered upstream. */
        val WINDOW: Duration = Duration.ofSeconds(4)

        /** The expiry of a lease, its takeover and one [WINDOW]. */
        val ANNOUNCEMENT_VALIDITY: Duration = Duration.ofSeconds(10)
    }
}
