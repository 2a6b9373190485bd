package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import java.time.Duration

/**
 * Measures the tokens that client accounts ask for over all instances, by service and priority, for [AccountShares]. The requests
 * that an instance sees of one account are too few for this: 5 a second of all accounts on each of 70 instances. Each instance
 * sends its own rates; the holder of the duty lease adds them up and tells all. Rates rather than totals, so that a lost message or a
 * restart leaves no gap or peak. Not thread-safe.
 */
public class AccountDemand {
    private val own = DemandMeter(WINDOW)
    private val peers = HashMap<String, PeerRates>()

    /** Counts a request with [tokens] prompt and expected output tokens. */
    public fun onRequest(
        of: AccountClass,
        tokens: Int,
        nanos: Long,
    ): Unit = own.onRequest(keyOf(of), tokens, nanos)

    /** Sets the [rates] of another instance. */
    public fun updatePeer(
        peer: String,
        rates: Map<String, Double>,
        nanos: Long,
    ) {
        peers[peer] = PeerRates(rates.filterValues { it.isFinite() && it > 0 }, nanos)
    }

    /** Tokens per second that are requested from this instance, of the [MAX_ENTRIES] classes with the most. */
    public fun ownRates(nanos: Long): Map<String, Double> = largest(own.rates(nanos))

    /** Tokens per second that are requested from all instances that have sent their rates lately, of the classes with the most. */
    public fun rates(nanos: Long): Map<String, Double> {
        peers.values.removeIf { nanos - it.nanos > MAX_PEER_AGE.toNanos() }
        val sums = HashMap(own.rates(nanos))
        for (peer in peers.values) peer.rates.forEach { (key, rate) -> sums.merge(key, rate, Double::plus) }
        return largest(sums)
    }

    private fun largest(of: Map<String, Double>): Map<String, Double> =
        if (of.size <= MAX_ENTRIES) {
            of.toMap()
        } else {
            of.entries
                .sortedByDescending { it.value }
                .take(MAX_ENTRIES)
                .associate { it.key to it.value }
        }

    private class PeerRates(
        val rates: Map<String, Double>,
        val nanos: Long,
    )

    public companion object {
        /** Accounts that are not among these use little of the room and are not limited. 64 entries take 2 KB of a message. */
        private const val MAX_ENTRIES = 64

        /** Long enough for some requests of each account, short against a burst of five seconds. */
        private val WINDOW: Duration = Duration.ofSeconds(2)

        /** Instances send their rates every 0.25 to 0.7 s. */
        private val MAX_PEER_AGE: Duration = Duration.ofSeconds(2)

        /** Key of [of] in messages. */
        private fun keyOf(of: AccountClass): String = "${of.priority}/${of.service}/${of.account.value}"

        /** Decodes the keys of [rates]; those that are not understood are left out. */
        public fun decode(rates: Map<String, Double>): Map<AccountClass, Double> =
            buildMap {
                for ((key, rate) in rates) {
                    val parts = key.split('/', limit = 3)
                    val priority = parts[0].toIntOrNull() ?: continue
                    if (parts.size == 3) put(AccountClass(parts[1], priority, AccountId(parts[2])), rate)
                }
            }
    }
}
