package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.QuotaHoldings
import io.buckthornlever.api.serving.ServedAccount
import java.time.Duration

/**
 * Charges requests to the quotas of their accounts: to credit that other instances have granted, to this instance's own shares, or else to
 * shares of others, which are asked for credit.
 *
 * Addresses one account that sends several times its quota through all instances of a large site, while a third of them is cut off:
 *
 * - One question at a time is open for an account, and one for its small requests, which thus never wait behind one too large to fit.
 *   A question asks for the requests that are waiting and for those expected in the next moment.
 * - A holder that does not answer within [HEDGE_DELAY] is not waited for; the next one is asked, and a late answer is credit for others.
 * - Holders that lack room are not asked before the time that they have named. While none is left to ask, requests are refused at once.
 * - No request waits longer than its caller can bear.
 *
 * Not thread-safe; the caller calls [onTime] at [nextTime].
 *
 * @param isNear tells whether the named instance is in the same failure domain
 * @param inAdvance false to ask for no more than a request needs
 * @param spread random numbers from 0 to 1 that spread the times at which refused callers return
 */
public class QuotaRequester(
    private val limiter: LocalQuotaLimiter,
    private val selector: QuotaHolderSelector,
    private val port: QuotaRequesterPort,
    private val isNear: (String) -> Boolean,
    private val inAdvance: Boolean,
    private val spread: () -> Double,
) {
    private val wallet = CreditWallet(port::giveBack)
    private val accounts = HashMap<AccountId, AccountState>()
    private val openAsks = LinkedHashMap<Long, OpenAsk>()
    private var lastHoldings: QuotaHoldings? = null
    private var nextId = 0L

    /** Monotonic time at which [onTime] is due; [Long.MAX_VALUE] if nothing is open. */
    public val nextTime: Long get() =
        minOf(
            wallet.nextExpiry,
            openAsks.values.minOfOrNull { it.nextTime } ?: Long.MAX_VALUE,
            accounts.values.minOfOrNull { it.nextTime } ?: Long.MAX_VALUE,
        )

    /** Number of requests that wait for an answer. */
    public val waitingCount: Int get() = accounts.values.sumOf { it.waiting.size }

    /**
     * Charges [cost] units to [account] for a request of [priority] and passes the outcome to [done], before returning if no other instance
     * has to be asked, and within [maxWait].
     */
    public fun charge(
        account: ServedAccount,
        cost: Double,
        priority: Int,
        maxWait: Duration,
        nanos: Long,
        done: (QuotaDecision) -> Unit,
    ) {
        if (account.ratePerSecond <= 0) return done(QuotaDecision.Unlimited)
        wallet.expire(nanos)
        val state = accounts[account.id]
        val isFirst = state == null || state.waiting.none { it.priority <= priority }
        if (isFirst) wallet.spend(account.id, cost, priority, nanos)?.let { return done(it) }
        val local = limiter.charge(account, cost, nanos, priority)
        if (local is QuotaCharge.Granted) return done(QuotaDecision.ChargedLocally(local))
        val own = state ?: accounts.getOrPut(account.id) { AccountState() }
        own.account = account
        own.demandOf(priority).add(cost, nanos)
        own.add(Waiting(cost, priority, nanos + maxWait.toNanos(), done))
        advance(own, nanos)
    }

    /** Takes back the charge of a request that did not run. */
    public fun refund(
        decision: QuotaDecision,
        nanos: Long,
    ) {
        when (decision) {
            is QuotaDecision.ChargedLocally -> limiter.refund(decision.charge, nanos)
            is QuotaDecision.ChargedToCredit -> wallet.refund(decision, nanos)
            QuotaDecision.Unlimited, is QuotaDecision.NoRoom, is QuotaDecision.Unknown -> Unit
        }
    }

    /** Handles the [answer] of [holder]. */
    public fun onAnswer(
        holder: String,
        answer: CreditAnswer,
        nanos: Long,
    ) {
        // A duplicate would be spent twice, or return what was spent.
        val open = openAsks.remove(answer.id)?.takeIf { it.holder == holder } ?: return
        val account = open.ask.account
        selector.onAnswer(account, holder, answer, open.ask.priority, nanos)
        if (answer.granted > 0) {
            val expiresAt = minOf(open.expiresAt, open.sentAt + answer.validNanos)
            val credit = Credit(holder, answer.id, account, open.ask.priority, expiresAt, answer.granted)
            wallet.add(credit, nanos)
        }
        val state = accounts[account] ?: return
        state.end(open)
        advance(state, nanos)
    }

    /** Advances what is due at [nanos]. */
    public fun onTime(nanos: Long) {
        wallet.expire(nanos)
        val due = openAsks.values.filter { it.nextTime <= nanos }
        for (open in due) onAskDue(open, nanos)
        for (state in accounts.values.toList()) if (state.nextTime <= nanos) advance(state, nanos)
        accounts.values.removeIf { it.isIdle(nanos) }
    }

    /** Called after a pause that the monotonic clock may not have counted: returns all credit, also what answers still bring. */
    public fun onPause(nanos: Long) {
        wallet.clear()
        openAsks.values.forEach { it.expiresAt = nanos }
    }

    private fun onAskDue(
        open: OpenAsk,
        nanos: Long,
    ) {
        val age = nanos - open.sentAt
        open.isHedged = true
        if (age >= FORGET_NANOS) openAsks.remove(open.ask.id)
        if (age >= ANSWER_NANOS && !open.isTimedOut) {
            open.isTimedOut = true
            selector.onTimeout(open.holder, nanos)
        }
        val state = accounts[open.ask.account] ?: return
        state.end(open)
        advance(state, nanos)
    }

    private fun advance(
        state: AccountState,
        nanos: Long,
    ) {
        if (state.isAdvancing) return
        state.isAdvancing = true
        state.wakeAt = Long.MAX_VALUE
        val decided = ArrayList<Pair<Waiting, QuotaDecision>>()
        val waiting = state.waiting.iterator()
        while (waiting.hasNext()) {
            val request = waiting.next()
            val isSmall = state.account?.let { selector.isSmall(it.id, request.cost) } ?: false
            val decision = decide(state, request, isSmall, nanos)
            if (decision != null) {
                waiting.remove()
                decided.add(request to decision)
            }
        }
        state.isAdvancing = false
        for ((request, decision) in decided) request.done(decision)
    }

    private fun decide(
        state: AccountState,
        request: Waiting,
        isSmall: Boolean,
        nanos: Long,
    ): QuotaDecision? {
        val account = state.account ?: return QuotaDecision.Unknown(UNKNOWN_RETRY)
        wallet.spend(account.id, request.cost, request.priority, nanos)?.let { return it }
        val local = limiter.chargeAgain(account, request.cost, nanos, request.priority)
        if (local is QuotaCharge.Granted) return QuotaDecision.ChargedLocally(local)
        val holdings = limiter.holdings
        if (holdings !== lastHoldings) {
            lastHoldings = holdings
            holdings?.let(selector::retain)
        }
        if (holdings == null || account.id !in holdings.accounts) return QuotaDecision.Unknown(UNKNOWN_RETRY)
        if (nanos >= request.deadline) return refusal(holdings, account, request, nanos)
        // While another question is open, its answer may leave credit for this request, too.
        if (state.openAsk(isSmall) != null) return null
        if (request.asks < MAX_ASKS && ask(state, holdings, request, isSmall, nanos)) {
            request.asks++
            return null
        }
        if (raise(state, holdings, request, local, nanos)) return null
        val holders = selector.holders(holdings, account.id)
        val isAnswerOpen = openAsks.values.any { it.ask.cost > 0 && !it.isTimedOut && it.holder in holders }
        return if (isAnswerOpen) null else refusal(holdings, account, request, nanos)
    }

    /** Asks the next holder that may have room; returns false if there is none. */
    private fun ask(
        state: AccountState,
        holdings: QuotaHoldings,
        request: Waiting,
        isSmall: Boolean,
        nanos: Long,
    ): Boolean {
        val account = state.account ?: return false
        probe(holdings, account.id, request.priority, nanos)
        val missing = request.cost - wallet.available(account.id, request.priority, nanos)
        val whole = selector.candidates(holdings, account.id, missing, nanos, request.priority, isNear).filterNot {
            isAsked(it, account.id)
        }
        for (holder in whole) if (send(state, holder, request, missing, isSmall, nanos)) return true
        val parts = selector.together(holdings, account.id, missing, request.priority, nanos).filterNot { isAsked(it, account.id) }
        for (holder in parts) if (send(state, holder, request, missing, isSmall, nanos, partial = true)) return true
        return false
    }

    /** Has a ceiling raised, since no holder that answers has room below its own; returns false if that is in vain. */
    private fun raise(
        state: AccountState,
        holdings: QuotaHoldings,
        request: Waiting,
        local: QuotaCharge,
        nanos: Long,
    ): Boolean {
        val account = state.account ?: return false
        if (nanos >= request.raisedUntil) {
            if (request.raises >= MAX_RAISES || !requestRaise(holdings, request, account, local, nanos)) return false
            request.raises++
            // Questions for parts may have used all of them, and then the raised ceiling would not be asked for.
            request.asks = minOf(request.asks, MAX_ASKS - ASKS_AFTER_RAISE)
            // Without time to wait for it, the ceiling is raised for when the caller returns.
            if (nanos + RAISE_NANOS > request.deadline) {
                request.raises = MAX_RAISES
                return false
            }
            request.raisedUntil = nanos + RAISE_NANOS
        }
        state.wakeAt = minOf(state.wakeAt, request.raisedUntil)
        return true
    }

    private fun requestRaise(
        holdings: QuotaHoldings,
        request: Waiting,
        account: ServedAccount,
        local: QuotaCharge,
        nanos: Long,
    ): Boolean {
        // One raised ceiling is enough; more would only leave less for these holders after a restart.
        if (local == QuotaCharge.AboveCeiling) {
            port.raiseCeiling(account, request.cost)
            return true
        }
        val holder =
            selector.aboveCeiling(holdings, account.id, request.cost, nanos).firstOrNull { !isAsked(it, account.id) } ?: return false
        return sendAsk(holder, CreditAsk(nextId++, account.id, request.cost, 0.0, request.priority, raise = true), nanos) != null
    }

    private fun probe(
        holdings: QuotaHoldings,
        account: AccountId,
        priority: Int,
        nanos: Long,
    ) {
        val holder = selector.probesDue(holdings, account, nanos).firstOrNull() ?: return
        selector.onProbed(holder, nanos)
        sendAsk(holder, CreditAsk(nextId++, account, 0.0, 0.0, priority, raise = false), nanos)
    }

    private fun send(
        state: AccountState,
        holder: String,
        request: Waiting,
        missing: Double,
        isSmall: Boolean,
        nanos: Long,
        partial: Boolean = false,
    ): Boolean {
        val account = state.account ?: return false
        val ahead = if (partial) 0.0 else expected(state, request, nanos)
        val ask = CreditAsk(nextId++, account.id, missing, ahead, request.priority, raise = false, partial = partial)
        val open = sendAsk(holder, ask, nanos) ?: return false
        if (isSmall) state.smallAsk = open else state.largeAsk = open
        return true
    }

    private fun sendAsk(
        holder: String,
        ask: CreditAsk,
        nanos: Long,
    ): OpenAsk? {
        if (!port.ask(holder, ask)) return null
        val open = OpenAsk(holder, ask, nanos, nanos + QuotaBounds.CREDIT_VALIDITY.toNanos())
        openAsks[ask.id] = open
        return open
    }

    /** Units that are needed in addition to those of [request]: by others that wait, and by those that will come while credit is valid. */
    private fun expected(
        state: AccountState,
        request: Waiting,
        nanos: Long,
    ): Double {
        if (!inAdvance) return 0.0
        val others = state.waiting.filter { it !== request && it.priority == request.priority }.sumOf { it.cost }
        val recent = state.demandOf(request.priority).sum(nanos) - request.cost - others
        return others + maxOf(0.0, recent) * LEAD_NANOS / DEMAND_WINDOW_NANOS
    }

    private fun isAsked(
        holder: String,
        account: AccountId,
    ): Boolean = openAsks.values.any { it.holder == holder && !it.isTimedOut && (it.isHedged || it.ask.account == account) }

    private fun refusal(
        holdings: QuotaHoldings,
        account: ServedAccount,
        request: Waiting,
        nanos: Long,
    ): QuotaDecision {
        val others = selector.roomExpectedAt(holdings, account.id, request.cost, request.priority, nanos)
        val isOnlyHolder = selector.holders(holdings, account.id).isEmpty()
        if (others == null && !isOnlyHolder) return QuotaDecision.Unknown(UNKNOWN_RETRY)
        val isHolder = selector.isHolder(holdings, account.id)
        val own = if (isHolder) nanos + limiter.timeToRoom(account, request.cost, nanos, request.priority).toNanos() else Long.MAX_VALUE
        val at = minOf(others ?: own, own)
        val wait = maxOf(at - nanos, MIN_RETRY_NANOS)
        return QuotaDecision.NoRoom(Duration.ofNanos((wait * (1 + RETRY_SPREAD * spread())).toLong()))
    }

    /** Requests for units of one account that wait for an answer, the most urgent first. */
    private class AccountState {
        var account: ServedAccount? = null
        val waiting = ArrayList<Waiting>()
        var largeAsk: OpenAsk? = null
        var smallAsk: OpenAsk? = null
        var wakeAt = Long.MAX_VALUE
        var isAdvancing = false
        private val demand = HashMap<Int, SlidingWindowSum>()

        val nextTime: Long get() = if (waiting.isEmpty()) Long.MAX_VALUE else minOf(wakeAt, waiting.minOf { it.deadline })

        fun add(request: Waiting) {
            val after = waiting.indexOfFirst { it.priority > request.priority }
            if (after < 0) waiting.add(request) else waiting.add(after, request)
        }

        fun demandOf(priority: Int): SlidingWindowSum = demand.getOrPut(priority) { SlidingWindowSum(DEMAND_WINDOW_NANOS, DEMAND_SLOTS) }

        fun openAsk(isSmall: Boolean): OpenAsk? = if (isSmall) smallAsk else largeAsk

        /** Has the next holder asked, since [open] was answered or is not waited for. */
        fun end(open: OpenAsk) {
            if (largeAsk === open) largeAsk = null
            if (smallAsk === open) smallAsk = null
        }

        fun isIdle(nanos: Long): Boolean =
            waiting.isEmpty() && largeAsk == null && smallAsk == null && demand.values.all { it.sum(nanos) <= 0 }
    }

    private class Waiting(
        val cost: Double,
        val priority: Int,
        val deadline: Long,
        val done: (QuotaDecision) -> Unit,
    ) {
        var asks = 0
        var raises = 0
        var raisedUntil = Long.MIN_VALUE
    }

    private class OpenAsk(
        val holder: String,
        val ask: CreditAsk,
        val sentAt: Long,
        var expiresAt: Long,
    ) {
        var isTimedOut = false
        var isHedged = false

        val nextTime: Long get() =
            when {
                !isHedged -> sentAt + HEDGE_DELAY.toNanos()
                !isTimedOut -> sentAt + ANSWER_NANOS
                else -> sentAt + FORGET_NANOS
            }
    }

    private companion object {
        /** Time after which another holder is asked, too: several round trips between failure domains, and a turn of a busy machine. */
        val HEDGE_DELAY: Duration = Duration.ofMillis(20)

        /** Time after which a holder without an answer counts as silent. */
        const val ANSWER_NANOS = 100_000_000L

        /** Time after which a late answer is no longer recognised; what it grants then counts until it leaves the window. */
        const val FORGET_NANOS = 3_000_000_000L

        /**
         * Time for a higher ceiling to be recorded. It exceeds the 15 ms that the holder states by the time of its answer, since a holder
         * that is not asked again then has the request refused.
         */
        const val RAISE_NANOS = 20_000_000L

        /** Holders asked for one request, those that probably have room first. More would cost the caller more than a retry. */
        const val MAX_ASKS = 8

        /** Holders that may be asked at least once a ceiling has been raised. */
        const val ASKS_AFTER_RAISE = 2

        /** Ceilings that are raised for one request; the second one is for other requests having used the first. */
        const val MAX_RAISES = 2

        /** Time for which credit is asked in advance: most of it is then spent within its validity. */
        const val LEAD_NANOS = 300_000_000L
        const val DEMAND_WINDOW_NANOS = 1_000_000_000L
        const val DEMAND_SLOTS = 10

        /** Shortest time after which a refused caller should return. */
        const val MIN_RETRY_NANOS = 50_000_000L

        /** Part of the wait by which the returns of refused callers are spread. */
        const val RETRY_SPREAD = 0.5

        /** Time to the next check of silent holders. */
        val UNKNOWN_RETRY: Duration = Duration.ofMillis(700)
    }
}
