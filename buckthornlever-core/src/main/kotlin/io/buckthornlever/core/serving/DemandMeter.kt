package io.buckthornlever.core.serving

import java.time.Duration

/** Measures the demand for each service over all instances, in prompt tokens, averaged over [window]. Not thread-safe. */
public class DemandMeter(
    private val window: Duration = WINDOW,
) {
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
        if (!add(service, tokens.toDouble(), nanos)) return
        totals.merge(service, tokens.toDouble(), Double::plus)
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
        if (known == null && peers.size >= MAX_PEERS) peers.values.removeIf { nanos - it.nanos > SILENCE_NANOS }
        if (known != null || peers.size < MAX_PEERS) peers[peer] = PeerTotals(incarnation, totals, nanos)
    }

    /** True if nine tenths of [instances] have told their totals a short time ago. */
    public fun hasHeardFrom(
        instances: Set<String>,
        nanos: Long,
    ): Boolean = instances.count { isRecent(it, nanos) } >= instances.size * HEARD_SHARE

    private fun isRecent(
        instance: String,
        nanos: Long,
    ): Boolean = peers[instance]?.let { nanos - it.nanos <= SILENCE_NANOS } ?: false

    /** Records [rates] in prompt tokens per second by service, as measured by the instance that gathers the totals of all others. */
    public fun onAnnounced(
        rates: Map<String, Double>,
        nanos: Long,
    ) {
        announced.values.removeIf { nanos - it.atNanos > ANNOUNCEMENT_VALIDITY.toNanos() }
        for ((service, rate) in rates) {
            if (service in announced || announced.size < MAX_SERVICES) announced[service] = Announced(rate, nanos)
        }
    }

    /**
     * Prompt tokens per second requested from [service], averaged over the window. Just after this instance has begun to gather the
     * totals of the others it knows only part of the demand; the rate announced by its predecessor then counts if it is higher.
     */
    public fun tokensPerSecond(
        service: String,
        nanos: Long,
    ): Double {
        val measured = (recent[service]?.sum(nanos) ?: 0.0) / (window.toMillis() / MILLIS_PER_SECOND)
        val previous = announced[service]?.takeIf { nanos - it.atNanos <= ANNOUNCEMENT_VALIDITY.toNanos() }?.rate ?: 0.0
        return maxOf(measured, previous)
    }

    /** [tokensPerSecond] of each service that has been requested in the window. */
    internal fun rates(nanos: Long): Map<String, Double> =
        recent.keys.associateWith { tokensPerSecond(it, nanos) }.filterValues { it > 0 }

    /** Returns false if the demand for [service] is ignored, since that for too many others is measured. */
    private fun add(
        service: String,
        tokens: Double,
        nanos: Long,
    ): Boolean {
        if (service !in recent && recent.size >= MAX_SERVICES) forgetIdle(nanos)
        if (service !in recent && recent.size >= MAX_SERVICES) return false
        recent.getOrPut(service) { SlidingWindowSum(window.toNanos()) }.add(tokens, nanos)
        return true
    }

    private fun forgetIdle(nanos: Long) {
        recent.values.removeIf { it.sum(nanos) <= 0 }
        totals.keys.retainAll(recent.keys)
    }

    private class Announced(
        val rate: Double,
        val atNanos: Long,
    )

    private class PeerTotals(
        val incarnation: Long,
        val totals: Map<String, Double>,
        val nanos: Long,
    )

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** A few that have just ended must not keep upstreams from being handed back. */
        const val HEARD_SHARE = 0.9

        /** Services, or their accounts and priorities, that are measured at once; a site has some hundred. Each takes 400 bytes. */
        const val MAX_SERVICES = 4_096

        /** Instances whose totals are kept; the largest site that is planned for has 1,200. */
        const val MAX_PEERS = 2_048

        /** Several intervals of the messages with the totals. */
        const val SILENCE_NANOS = 2_500_000_000L

        /** Long enough to smooth out single large prompts, short compared with the start time of an ordered upstream. */
        val WINDOW: Duration = Duration.ofSeconds(4)

        /** The expiry of a lease, its takeover and one [WINDOW]. */
        val ANNOUNCEMENT_VALIDITY: Duration = Duration.ofSeconds(10)
    }
}
