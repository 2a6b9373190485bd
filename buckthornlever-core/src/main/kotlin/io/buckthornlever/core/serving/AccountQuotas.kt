package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.ServedAccount
import java.time.Duration

/**
 * Quotas of client accounts over all instances. Each instance counts its own usage and what its peers tell of theirs in a
 * sliding window. A peer that is silent is charged an equal part of the quota, since it may be spending that much; an
 * instance that hears nobody is thus left with its own equal part. Not thread-safe.
 */
public class AccountQuotas(
    private val bounds: QuotaBounds,
) {
    private val own = HashMap<AccountId, Usage>()
    private val peers = HashMap<String, Peer>()

    /** Charges [cost] units to [account] and returns true, or returns false when the quota is used up. */
    public fun admit(
        account: ServedAccount,
        cost: Double,
        nanos: Long,
    ): Boolean {
        val usage = own.getOrPut(account.id) { Usage(bounds.window) }
        if (account.ratePerSecond > 0 && used(account, nanos) + cost > limit(account)) return false
        usage.add(cost, nanos)
        return true
    }

    /** Takes back the charge of a request that did not run. */
    public fun refund(
        account: AccountId,
        cost: Double,
        nanos: Long,
    ) {
        own[account]?.add(-cost, nanos)
    }

    /** Units that this instance has charged since its start, by client account. */
    public fun totals(): Map<AccountId, Double> = own.mapValues { it.value.total }

    /** Sets the other live instances. */
    public fun members(names: Collection<String>) {
        peers.keys.retainAll(names.toSet())
        names.forEach { peers.getOrPut(it) { Peer() } }
    }

    /** Takes the [totals] that [peer] has charged since its start, its [incarnation]. */
    public fun heard(
        peer: String,
        incarnation: Long,
        totals: Map<AccountId, Double>,
        nanos: Long,
    ) {
        val known = peers.getOrPut(peer) { Peer() }
        if (incarnation < known.incarnation) return
        if (incarnation > known.incarnation) known.restart(incarnation)
        known.heardAt = nanos
        for ((account, total) in totals) known.usage.getOrPut(account) { Usage(bounds.window) }.advanceTo(total, nanos)
    }

    private fun used(
        account: ServedAccount,
        nanos: Long,
    ): Double {
        val part = limit(account) / (peers.size + 1)
        return (own[account.id]?.sum(nanos) ?: 0.0) +
            peers.values.sumOf { peer ->
                val known = peer.usage[account.id]?.sum(nanos) ?: 0.0
                if (nanos - peer.heardAt > SILENCE.toNanos()) maxOf(known, part) else known
            }
    }

    private fun limit(account: ServedAccount): Double {
        val owed = account.ratePerSecond * bounds.window.toMillis() / MILLIS_PER_SECOND + account.burst
        return owed + USED_TOLERANCE * (owed * bounds.overshoot + bounds.slack)
    }

    private class Peer {
        var incarnation = Long.MIN_VALUE
        var heardAt = NEVER
        val usage = HashMap<AccountId, Usage>()

        fun restart(incarnation: Long) {
            this.incarnation = incarnation
            usage.values.forEach { it.total = 0.0 }
        }
    }

    private class Usage(
        window: Duration,
    ) {
        private val recent = SlidingSum(window.toNanos())
        var total = 0.0

        fun add(
            amount: Double,
            nanos: Long,
        ) {
            total += amount
            recent.add(amount, nanos)
        }

        fun advanceTo(
            total: Double,
            nanos: Long,
        ) = add(total - this.total, nanos)

        fun sum(nanos: Long): Double = recent.sum(nanos)
    }

    private companion object {
        /** Part of the tolerated excess that is used; the rest covers usage that peers have not told yet. */
        const val USED_TOLERANCE = 0.4

        const val MILLIS_PER_SECOND = 1_000.0

        /** Far enough in the past to count as silent, near enough not to overflow. */
        const val NEVER = Long.MIN_VALUE / 2

        /** Several intervals of peer messages. */
        val SILENCE: Duration = Duration.ofMillis(1_500)
    }
}
