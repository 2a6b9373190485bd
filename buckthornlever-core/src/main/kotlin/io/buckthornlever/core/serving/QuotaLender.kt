package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.ServedAccount
import java.time.Duration
import java.util.TreeMap

/**
 * Answers the questions of other instances for units of the shares that this instance holds.
 *
 * Addresses a site of 70 to 132 instances that all want units of one account beyond its quota: an instance that is refused is told when
 * to ask again, by when units leave the window and when others will ask. The questions thus follow the room, not the requests.
 *
 * Not thread-safe.
 *
 * @param raiseCeiling requests a ceiling under which that many units more can be charged to the shares of an account
 */
public class QuotaLender(
    private val limiter: LocalQuotaLimiter,
    private val raiseCeiling: (ServedAccount, Double) -> Unit,
) {
    private val loans = LinkedHashMap<LoanKey, Loan>()
    private val appointments = TreeMap<Long, Pair<String, AccountId>>()
    private val appointmentOf = HashMap<Pair<String, AccountId>, Long>()

    /** Answers [ask] of the process [incarnation] of [sender]; [account] is null if the serving table does not have it. */
    public fun answer(
        sender: String,
        incarnation: Long,
        ask: CreditAsk,
        account: ServedAccount?,
        nanos: Long,
    ): CreditAnswer {
        val key = LoanKey(sender, incarnation, ask.id)
        loans[key]?.let { return it.answer }
        if (account == null || !(ask.cost >= 0)) return CreditAnswer(ask.id, 0.0, 0.0, UNKNOWN_ACCOUNT_WAIT.toNanos(), false)
        if (ask.cost == 0.0) return refusal(ask, account, 0, false, nanos)
        return when (val charge = limiter.lend(account, ask.cost, nanos, ask.priority)) {
            is QuotaCharge.Granted -> grant(key, ask, account, charge)
            QuotaCharge.AboveCeiling -> {
                if (ask.partial) grantPart(key, ask, account, nanos)?.let { return it }
                if (ask.raise) raiseCeiling(account, ask.cost)
                refusal(ask, account, CEILING_RAISE_TIME.toNanos(), true, nanos)
            }
            QuotaCharge.Exhausted -> {
                if (ask.partial) grantPart(key, ask, account, nanos)?.let { return it }
                refusal(ask, account, appointment(sender, ask, account, nanos) - nanos, false, nanos)
            }
        }
    }

    /** Takes back [total] units of the credit granted for the question [id], which were not spent; includes what was returned before. */
    public fun onReturned(
        sender: String,
        incarnation: Long,
        id: Long,
        total: Double,
        nanos: Long,
    ) {
        val loan = loans[LoanKey(sender, incarnation, id)] ?: return
        var left = minOf(total, loan.charges.sumOf { it.cost }) - loan.returned
        if (!(left > 0)) return
        var skipped = loan.returned
        loan.returned += left
        for (charge in loan.charges) {
            val amount = minOf(left, maxOf(0.0, charge.cost - skipped))
            skipped = maxOf(0.0, skipped - charge.cost)
            if (amount > 0) limiter.refund(charge.copy(cost = amount), nanos)
            left -= amount
        }
    }

    private fun grantPart(
        key: LoanKey,
        ask: CreditAsk,
        account: ServedAccount,
        nanos: Long,
    ): CreditAnswer? {
        val part = minOf(ask.cost, limiter.available(account, nanos, ask.priority, ask.cost))
        if (part < ask.cost * MIN_PART) return null
        val charge = limiter.lendAhead(account, part, nanos, ask.priority) as? QuotaCharge.Granted ?: return null
        return grant(key, ask.copy(ahead = 0.0), account, charge)
    }

    private fun grant(
        key: LoanKey,
        ask: CreditAsk,
        account: ServedAccount,
        charge: QuotaCharge.Granted,
    ): CreditAnswer {
        val more = minOf(ask.ahead, limiter.available(account, charge.nanos, ask.priority, ask.ahead) * AHEAD_SHARE)
        val ahead = if (more > 0) limiter.lendAhead(account, more, charge.nanos, ask.priority) else null
        val charges = listOfNotNull(charge, ahead as? QuotaCharge.Granted)
        val free = limiter.availableWhenRaised(account, charge.nanos, ask.priority)
        val answer = answer(ask, account, charges.sumOf { it.cost }, free, 0, false, charge.nanos)
        loans[key] = Loan(charges, answer)
        if (loans.size > MAX_LOANS) loans.remove(loans.keys.first())
        return answer
    }

    private fun refusal(
        ask: CreditAsk,
        account: ServedAccount,
        waitNanos: Long,
        isAboveCeiling: Boolean,
        nanos: Long,
    ): CreditAnswer {
        // Among many instances the rest is gone before a smaller request comes for it.
        val free = if (appointments.size > MAX_OFFERED) 0.0 else limiter.availableWhenRaised(account, nanos, ask.priority)
        return answer(ask, account, 0.0, free, waitNanos, isAboveCeiling, nanos)
    }

    private fun answer(
        ask: CreditAsk,
        account: ServedAccount,
        granted: Double,
        free: Double,
        waitNanos: Long,
        isAboveCeiling: Boolean,
        nanos: Long,
    ): CreditAnswer {
        val smallCost = limiter.smallCost(account.id, ask.priority, nanos)
        val freeForSmall = limiter.available(account, nanos, ask.priority, cost = 0.0)
        return CreditAnswer(ask.id, granted, free, waitNanos, isAboveCeiling, smallCost, freeForSmall)
    }

    /**
     * Time at which [sender] should ask again: when there is room, and not together with others. Nothing is promised to others before it:
     * an instance is told such a time by all holders and uses the first, so that promised units would lie idle at most of them.
     */
    private fun appointment(
        sender: String,
        ask: CreditAsk,
        account: ServedAccount,
        nanos: Long,
    ): Long {
        val key = sender to account.id
        val past = appointments.headMap(Math.floorDiv(nanos, MIN_INTERVAL_NANOS), true)
        past.values.forEach(appointmentOf::remove)
        past.clear()
        appointmentOf.remove(key)?.let(appointments::remove)
        val room = limiter.timeToRoom(account, ask.cost, nanos, ask.priority)
        val earliest = nanos + room.toNanos().coerceIn(MIN_INTERVAL_NANOS, MAX_WAIT_NANOS)
        var slot = Math.floorDiv(earliest - 1, MIN_INTERVAL_NANOS) + 1
        while (slot in appointments) slot++
        appointments[slot] = key
        appointmentOf[key] = slot
        return slot * MIN_INTERVAL_NANOS
    }

    private data class LoanKey(
        val sender: String,
        val incarnation: Long,
        val id: Long,
    )

    private class Loan(
        val charges: List<QuotaCharge.Granted>,
        val answer: CreditAnswer,
    ) {
        var returned = 0.0
    }

    private companion object {
        /**
         * Interval between two questions of instances that were refused. A question with its answer takes about a millisecond of processor
         * time on both sides, so 40 a second are some hundredths of a core.
         */
        const val MIN_INTERVAL_NANOS = 25_000_000L

        /** Longest wait: units are also returned unspent, and others may not come back for theirs. */
        const val MAX_WAIT_NANOS = 3_000_000_000L

        /** Part of the free units that one question gets in advance; the rest is left to other instances. */
        const val AHEAD_SHARE = 0.25

        /** Instances that wait for room up to which each is told what is left for smaller requests. */
        const val MAX_OFFERED = 8

        /** Smallest part of a request that is granted alone; smaller ones take more messages than they are worth. */
        const val MIN_PART = 0.125

        /** Loans that are remembered for duplicates and returns; more than a holder grants while credit is valid. */
        const val MAX_LOANS = 4_096

        /** Time for a higher ceiling to be written to the store and the writer to receive the result. */
        val CEILING_RAISE_TIME: Duration = Duration.ofMillis(15)

        /** Time for a new account to be in the tables of all instances. */
        val UNKNOWN_ACCOUNT_WAIT: Duration = Duration.ofMillis(500)
    }
}
