package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.ServedAccount
import java.time.Duration

/**
 * Quotas of client accounts over all instances. Each instance counts its own usage and what its peers tell of theirs in a
 * sliding window. A peer that is silent is charged an equal part of the quota, since it may be spending that much; an
 * instance that hears nobody is thus left with its own equal part. What peers have admitted since they were last heard is
 * estimated, since all of them see the same room when some comes free. Not thread-safe.
 *
 * A process that starts while others have served does not know what was used before; until it has [restore]d a snapshot, all
 * but its equal part counts as used, and that part comes free over one window.
 *
 * @param incarnation start of this process, as it tells its peers
 * @param startNanos monotonic time of the start; not given when nothing can have been used before
 */
public class AccountQuotas(
    private val bounds: QuotaBounds,
    private val incarnation: Long = Long.MIN_VALUE,
    private val startNanos: Long = NEVER,
) {
    private var before: HashMap<AccountId, Usage>? = if (startNanos == NEVER) HashMap() else null
    private val own = HashMap<AccountId, Usage>()
    private val untold = HashMap<AccountId, SlidingSum>()
    private val peers = HashMap<String, Peer>()

    /** Interval in which instances tell each other what they have used. */
    public var tellInterval: Duration = Duration.ofMillis(250)
        set(value) {
            if (value != field) untold.clear()
            field = value
        }

    /** True once it is known what was used before this process started. */
    public val isRestored: Boolean get() = before != null

    /** Charges [cost] units to [account] and returns true, or returns false when the quota is used up. */
    public fun admit(
        account: ServedAccount,
        cost: Double,
        nanos: Long,
    ): Boolean {
        val usage = own.getOrPut(account.id) { Usage(bounds.window) }
        if (account.ratePerSecond > 0 && used(account, nanos) + cost > limit(account)) return false
        usage.add(cost, nanos)
        untold.getOrPut(account.id) { SlidingSum(lagNanos()) }.add(cost, nanos)
        return true
    }

    /** Takes back the charge of a request that did not run and was admitted at [chargedNanos]. */
    public fun refund(
        account: AccountId,
        cost: Double,
        chargedNanos: Long,
        nanos: Long,
    ) {
        own[account]?.takeBack(cost, chargedNanos, nanos)
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
        // What a peer used before this process started is part of the snapshot.
        val olderThanThis = known.incarnation != incarnation && incarnation <= this.incarnation
        if (incarnation > known.incarnation) known.restart(incarnation)
        known.heardAt = nanos
        for ((account, total) in totals) {
            val usage = known.usage.getOrPut(account) { Usage(bounds.window) }
            if (olderThanThis) usage.total = total else usage.advanceTo(total, nanos)
        }
    }

    /** What all instances have used in the window that ends at [nanos], by client account and slot. */
    public fun recent(nanos: Long): Map<AccountId, List<Double>> {
        val sources = listOf(own, before.orEmpty()) + peers.values.map { it.usage }
        return sources
            .flatMap { it.entries }
            .groupBy({ it.key }, { it.value.slots(nanos) })
            .mapValues { (_, all) -> all.reduce { sum, slots -> sum.zip(slots, Double::plus) } }
    }

    /** Takes what was used before this process started, as [recent] told it [age] ago. */
    public fun restore(
        used: Map<AccountId, List<Double>>,
        age: Duration,
        nanos: Long,
    ) {
        before = HashMap(used.mapValues { (_, slots) -> Usage(bounds.window).apply { restore(slots, age.toNanos(), nanos) } })
    }

    private fun usedBefore(
        account: ServedAccount,
        part: Double,
        nanos: Long,
    ): Double {
        val known = before
        if (known == null) {
            val passed = (nanos - startNanos).toDouble() / bounds.window.toNanos()
            return if (passed < 1.0) limit(account) - part * passed else 0.0
        }
        return known[account.id]?.sum(nanos) ?: 0.0
    }

    private fun used(
        account: ServedAccount,
        nanos: Long,
    ): Double {
        val part = limit(account) / (peers.size + 1)
        val ownUsed = own[account.id]?.sum(nanos) ?: 0.0
        val peersUsed =
            peers.values.sumOf { peer ->
                val known = peer.usage[account.id]?.sum(nanos) ?: 0.0
                if (nanos - peer.heardAt > silenceNanos()) maxOf(known, part) else known
            }
        return ownUsed + usedBefore(account, part, nanos) + peersUsed + untoldByPeers(account, ownUsed + peersUsed, nanos)
    }

    /** What peers may have admitted since they were heard: as much as this instance, or a few times their usual pace. */
    private fun untoldByPeers(
        account: ServedAccount,
        used: Double,
        nanos: Long,
    ): Double {
        val ownUntold = untold[account.id]?.sum(nanos) ?: 0.0
        val usual = used * lagNanos() / bounds.window.toNanos()
        return minOf(ownUntold * peers.size, usual * BURST_FACTOR)
    }

    private fun lagNanos(): Long = tellInterval.toNanos() + DELIVERY.toNanos()

    private fun silenceNanos(): Long = maxOf(SILENCE.toNanos(), SILENT_INTERVALS * tellInterval.toNanos())

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

        fun takeBack(
            amount: Double,
            addedNanos: Long,
            nanos: Long,
        ) {
            total -= amount
            recent.takeBack(amount, addedNanos, nanos)
        }

        fun advanceTo(
            total: Double,
            nanos: Long,
        ) = add(total - this.total, nanos)

        fun sum(nanos: Long): Double = recent.sum(nanos)

        fun slots(nanos: Long): List<Double> = recent.slots(nanos)

        fun restore(
            slots: List<Double>,
            ageNanos: Long,
            nanos: Long,
        ) = recent.restore(slots, ageNanos, nanos)
    }

    private companion object {
        /** Part of the tolerated excess that is used; the rest covers single large requests that several instances admit at once. */
        const val USED_TOLERANCE = 0.75

        const val MILLIS_PER_SECOND = 1_000.0

        /** Far enough in the past to count as silent, near enough not to overflow. */
        private const val NEVER = Long.MIN_VALUE / 2

        /** Silence that a few lost datagrams do not explain. */
        val SILENCE: Duration = Duration.ofMillis(1_500)

        /** Intervals without a message after which a peer counts as silent. */
        const val SILENT_INTERVALS = 3

        /** Time in which a datagram arrives and is read, on a busy machine. */
        val DELIVERY: Duration = Duration.ofMillis(100)

        /** Pace of a burst as a multiple of the usual one. */
        const val BURST_FACTOR = 3.0
    }
}
