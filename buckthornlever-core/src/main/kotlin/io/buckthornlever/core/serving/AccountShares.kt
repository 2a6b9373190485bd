package io.buckthornlever.core.serving

import java.time.Duration

/**
 * Divides the room for the requests of one priority among the client accounts, by the tokens that they ask for over all instances.
 * Accounts of 16, of which one to three send 4.8 to 7.5 times their usual load for some seconds, share the engines.
 *
 * An account gets what it asks for up to a level that is the same for all accounts, and that lets all together use the room
 * (max-min fairness). Room that quiet accounts leave goes to those that ask for more. Not thread-safe.
 */
public class AccountShares {
    private var rates: Map<AccountClass, Double> = emptyMap()
    private var classes: Map<Pair<String, Int>, List<Double>> = emptyMap()
    private var updatedNanos = Long.MIN_VALUE / 2

    /** Sets the prompt and output [tokensPerSecond] that accounts ask for over all instances, as known at [nanos]. */
    public fun update(
        tokensPerSecond: Map<AccountClass, Double>,
        nanos: Long,
    ) {
        rates = tokensPerSecond.filterValues { it.isFinite() && it > 0 }
        classes = rates.entries.groupBy({ it.key.service to it.key.priority }, { it.value }).mapValues { (_, all) -> all.sorted() }
        updatedNanos = nanos
    }

    /** The part of [shares] that the account of [request] gets. */
    public fun apply(
        request: OverloadRequest,
        shares: AdmissionShares,
        nanos: Long,
    ): AdmissionShares {
        if (shares.now >= 1 || nanos - updatedNanos > MAX_AGE.toNanos()) return shares
        val account = request.account ?: return shares
        val all = classes[request.service to request.priority.effective] ?: return shares
        val asked = rates[AccountClass(request.service, request.priority.effective, account)] ?: 0.0
        val now = shareOf(asked, all, shares.now)
        val obstacle = if (now < shares.now) AdmissionObstacle.ACCOUNT_SHARE else shares.obstacle
        return AdmissionShares(now, shareOf(asked, all, shares.afterWait), obstacle)
    }

    /** True if the account of [request] asks for more than the mean of the accounts with its priority. */
    public fun isBeyondShare(
        request: OverloadRequest,
        nanos: Long,
    ): Boolean {
        if (nanos - updatedNanos > MAX_AGE.toNanos()) return false
        val all = classes[request.service to request.priority.effective] ?: return false
        val asked = rates[AccountClass(request.service, request.priority.effective, request.account ?: return false)] ?: return false
        return asked > all.average()
    }

    /** Share of its tokens that an account which asks for [asked] gets of the [room], which is a share of what [all] ask for. */
    private fun shareOf(
        asked: Double,
        all: List<Double>,
        room: Double,
    ): Double {
        if (room >= 1) return 1.0
        if (asked <= 0) return 1.0
        val level = level(all, room * all.sum())
        return (level / asked).coerceIn(room * MIN_PART, 1.0)
    }

    /** Level up to which each account gets what it asks for, so that all together get [room]; [asked] is in ascending order. */
    private fun level(
        asked: List<Double>,
        room: Double,
    ): Double {
        var left = room
        asked.forEachIndexed { i, tokens ->
            val part = left / (asked.size - i)
            if (tokens >= part) return part
            left -= tokens
        }
        return asked.last()
    }

    private companion object {
        /** Part of the common share that each account gets, however much it asks for. */
        const val MIN_PART = 0.25

        /** Rates older than this say nothing about an account; bursts last five seconds and more. */
        val MAX_AGE: Duration = Duration.ofSeconds(2)
    }
}
