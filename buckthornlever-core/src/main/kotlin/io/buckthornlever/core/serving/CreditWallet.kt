package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId

/**
 * Credit that other instances have granted to this one. It is spent here without a message, and what is left when it expires goes back
 * to its holder. Not thread-safe.
 *
 * @param giveBack tells a holder how many units of a credit were not spent, all returns of that credit together
 */
internal class CreditWallet(
    private val giveBack: (holder: String, id: Long, total: Double) -> Unit,
) {
    private val credits = HashMap<AccountId, ArrayList<Credit>>()

    /** Monotonic time at which the next credit expires; [Long.MAX_VALUE] without any. */
    val nextExpiry: Long get() = credits.values.minOfOrNull { of -> of.minOf { it.expiresAt } } ?: Long.MAX_VALUE

    /** Adds [credit], or returns it if it has expired. */
    fun add(
        credit: Credit,
        nanos: Long,
    ) {
        if (nanos >= credit.expiresAt) return returnRest(credit)
        credits.getOrPut(credit.account) { ArrayList() }.add(credit)
    }

    /** Units of [account] that a request of [priority] may spend. */
    fun available(
        account: AccountId,
        priority: Int,
        nanos: Long,
    ): Double = credits[account]?.filter { it.priority >= priority && nanos < it.expiresAt }?.sumOf { it.left } ?: 0.0

    /**
     * Spends [cost] units of [account] for a request of [priority], of the credit that expires first; returns null if there are fewer. Less
     * urgent requests do not spend what was granted for more urgent ones.
     */
    fun spend(
        account: AccountId,
        cost: Double,
        priority: Int,
        nanos: Long,
    ): QuotaDecision.ChargedToCredit? {
        val own = credits[account] ?: return null
        if (available(account, priority, nanos) < cost - ROUNDING) return null
        var missing = cost
        val parts = ArrayList<CreditPart>()
        for (credit in own.filter { it.priority >= priority && nanos < it.expiresAt }.sortedBy { it.expiresAt }) {
            val amount = minOf(missing, credit.left)
            if (amount <= 0) continue
            credit.left -= amount
            missing -= amount
            parts.add(CreditPart(credit, amount))
        }
        return QuotaDecision.ChargedToCredit(parts)
    }

    /** Takes back what a request has spent that did not run: for other requests while the credit is valid, else for its holder. */
    fun refund(
        spent: QuotaDecision.ChargedToCredit,
        nanos: Long,
    ) {
        for ((credit, amount) in spent.parts) {
            credit.left += amount
            val isValid = nanos < credit.expiresAt && credits[credit.account]?.contains(credit) ?: false
            if (!isValid) returnRest(credit)
        }
    }

    /** Returns the credit that has expired at [nanos]. */
    fun expire(nanos: Long) {
        if (nextExpiry > nanos) return
        remove { nanos >= it.expiresAt }
    }

    /** Returns all credit. After a pause that the monotonic clock may not have counted it may have expired long ago. */
    fun clear() = remove { true }

    private fun remove(isEnded: (Credit) -> Boolean) {
        for (of in credits.values) {
            val ended = of.filter(isEnded)
            of.removeAll(ended.toSet())
            ended.forEach(::returnRest)
        }
        credits.values.removeIf { it.isEmpty() }
    }

    private fun returnRest(credit: Credit) {
        if (credit.left <= 0) return
        credit.returned += credit.left
        credit.left = 0.0
        giveBack(credit.holder, credit.id, credit.returned)
    }

    private companion object {
        /** Larger than the rounding errors of sums of units, far below one unit. */
        const val ROUNDING = 1e-6
    }
}
