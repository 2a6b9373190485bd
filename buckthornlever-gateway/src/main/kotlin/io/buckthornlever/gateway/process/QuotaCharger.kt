package io.buckthornlever.gateway.process

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.serving.ServedAccount
import io.buckthornlever.core.serving.CreditAnswer
import io.buckthornlever.core.serving.CreditAsk
import io.buckthornlever.core.serving.LocalQuotaLimiter
import io.buckthornlever.core.serving.QuotaCharge
import io.buckthornlever.core.serving.QuotaDecision
import io.buckthornlever.core.serving.QuotaHolderSelector
import io.buckthornlever.core.serving.QuotaLender
import io.buckthornlever.core.serving.QuotaRequester
import io.buckthornlever.core.serving.QuotaRequesterPort
import io.netty.channel.EventLoop
import java.time.Duration
import java.util.concurrent.Future
import java.util.concurrent.ThreadLocalRandom
import java.util.concurrent.TimeUnit

/**
 * Charges requests to the quotas of their client accounts: to shares held by this instance while they have room, otherwise to credit
 * of other holders, which are asked by datagram. Runs the [QuotaRequester] and the [QuotaLender] of this instance.
 *
 * @param findAccount looks up an account in the current serving table
 * @param send sends a message to the named instance; returns false if it was not sent, for example because the instance is unknown
 * @param isNear tells whether the named instance is in the same failure domain
 * @param raiseCeiling requests a ceiling under which that many units more can be charged to the shares of an account
 * @param hasCredit true to ask for credit in advance and to grant urgent requests first
 * @param lendsCredit tells whether the release of the named instance grants credit; the others are asked for single charges
 */
internal class QuotaCharger(
    private val self: String,
    private val incarnation: Long,
    private val loop: EventLoop,
    private val clock: Clock,
    private val localLimiter: LocalQuotaLimiter,
    private val findAccount: (AccountId) -> ServedAccount?,
    private val send: (String, PeerMessage) -> Boolean,
    isNear: (String) -> Boolean,
    private val raiseCeiling: (ServedAccount, Double) -> Unit,
    private val hasCredit: Boolean = true,
    private val lendsCredit: (String) -> Boolean = { true },
) {
    private val requester =
        QuotaRequester(localLimiter, QuotaHolderSelector(self), Port(), isNear, hasCredit) { ThreadLocalRandom.current().nextDouble() }
    private val lender = QuotaLender(localLimiter, raiseCeiling)
    private val grantedCharges = LinkedHashMap<ChargeKey, GrantedCharge>()

    /** Units of the charges that holders of earlier releases were asked for, by the id of the question. */
    private val askedCharges = LinkedHashMap<Long, Double>()
    private var timer: Future<*>? = null
    private var timerAt = Long.MAX_VALUE

    /**
     * Charges [cost] units to [account] for a request of [priority] and passes the outcome to [done], before returning if no other instance
     * has to be asked, and within [maxWait].
     */
    fun charge(
        account: ServedAccount,
        cost: Double,
        priority: Int,
        maxWait: Duration,
        done: (QuotaDecision) -> Unit,
    ) {
        requester.charge(account, cost, if (hasCredit) priority else 0, maxWait, clock.monotonicNanos(), done)
        schedule()
    }

    /** Units of [account] that all instances together may grant in one window. */
    fun limitOf(account: ServedAccount): Double = localLimiter.limitOf(account)

    /** Refunds the charge of a request that did not run. */
    fun refund(decision: QuotaDecision): Unit = requester.refund(decision, clock.monotonicNanos())

    /** Called after a pause that the monotonic clock may not have counted. */
    fun onPause(): Unit = requester.onPause(clock.monotonicNanos())

    /** Handles a message on quota; others are ignored. */
    fun onMessage(message: PeerMessage) {
        when (message) {
            is PeerMessage.CreditRequest -> onCreditRequest(message)
            is PeerMessage.CreditResponse -> onCreditResponse(message)
            is PeerMessage.CreditReturn -> onCreditReturn(message)
            is PeerMessage.ChargeRequest -> onChargeRequest(message)
            is PeerMessage.ChargeResponse -> onChargeResponse(message)
            is PeerMessage.ChargeRefund -> onChargeRefund(message)
            else -> Unit
        }
    }

    /** Handles a request of another instance for credit of the shares held by this one. */
    fun onCreditRequest(request: PeerMessage.CreditRequest) {
        val account = AccountId(request.account)
        val ask = CreditAsk(request.id, account, request.cost, request.ahead, request.priority, request.raise, request.partial)
        val answer = lender.answer(request.sender, request.incarnation, ask, findAccount(account), clock.monotonicNanos())
        val waitMillis = answer.waitNanos / NANOS_PER_MILLI
        val response =
            PeerMessage.CreditResponse(
                self,
                request.incarnation,
                request.id,
                answer.granted,
                answer.free,
                waitMillis,
                answer.isAboveCeiling,
                answer.smallCost,
                answer.freeForSmall,
            )
        send(request.sender, response)
    }

    /** Handles a holder's response. */
    fun onCreditResponse(response: PeerMessage.CreditResponse) {
        if (response.incarnation != incarnation) return
        val waitNanos = response.waitMillis * NANOS_PER_MILLI
        val answer =
            CreditAnswer(
                response.id,
                response.granted,
                response.free,
                waitNanos,
                response.aboveCeiling,
                response.smallCost,
                response.freeForSmall,
            )
        requester.onAnswer(response.sender, answer, clock.monotonicNanos())
        schedule()
    }

    /** Handles the response of a holder of an earlier release, which charges the whole cost or nothing. */
    fun onChargeResponse(response: PeerMessage.ChargeResponse) {
        if (response.incarnation != incarnation) return
        val cost = askedCharges[response.id] ?: return
        val granted = if (response.verdict == PeerMessage.Verdict.CHARGED) cost else 0.0
        val isAboveCeiling = response.verdict == PeerMessage.Verdict.LATER
        val waitNanos = if (isAboveCeiling) CHARGE_RAISE_NANOS else CHARGE_WAIT_NANOS
        val answer = CreditAnswer(response.id, granted, response.free, waitNanos, isAboveCeiling, validNanos = CHARGE_VALID_NANOS)
        requester.onAnswer(response.sender, answer, clock.monotonicNanos())
        schedule()
    }

    /** Takes back credit of this instance that another one has not spent. */
    fun onCreditReturn(message: PeerMessage.CreditReturn): Unit =
        lender.onReturned(message.sender, message.incarnation, message.id, message.total, clock.monotonicNanos())

    /** Handles a request of an instance of an earlier release to charge shares held by this one. */
    fun onChargeRequest(request: PeerMessage.ChargeRequest) {
        val now = clock.monotonicNanos()
        val key = ChargeKey(request.sender, request.incarnation, request.id)
        val id = AccountId(request.account)
        val account = findAccount(id)
        val previous = grantedCharges[key]
        val verdict =
            when {
                previous != null -> PeerMessage.Verdict.CHARGED
                account == null || !(request.cost >= 0) -> PeerMessage.Verdict.NO_ROOM
                else -> grant(key, account, request, now)
            }
        val free = if (account == null) 0.0 else localLimiter.availableWhenRaised(account, now)
        send(request.sender, PeerMessage.ChargeResponse(self, request.incarnation, request.id, verdict, free))
    }

    /** Refunds a charge made here for an instance of an earlier release whose request did not run. */
    fun onChargeRefund(message: PeerMessage.ChargeRefund) {
        val granted = grantedCharges[ChargeKey(message.sender, message.incarnation, message.id)] ?: return
        if (granted.refunded) return
        granted.refunded = true
        localLimiter.refund(granted.charge, clock.monotonicNanos())
    }

    private fun grant(
        key: ChargeKey,
        account: ServedAccount,
        request: PeerMessage.ChargeRequest,
        now: Long,
    ): PeerMessage.Verdict =
        when (val charge = localLimiter.charge(account, request.cost, now)) {
            is QuotaCharge.Granted -> {
                grantedCharges[key] = GrantedCharge(charge)
                if (grantedCharges.size > MAX_REMEMBERED) grantedCharges.remove(grantedCharges.keys.first())
                PeerMessage.Verdict.CHARGED
            }
            QuotaCharge.AboveCeiling -> {
                if (request.raise) raiseCeiling(account, request.cost)
                PeerMessage.Verdict.LATER
            }
            QuotaCharge.Exhausted -> PeerMessage.Verdict.NO_ROOM
        }

    /** Sees to it that the requester runs when it is due. */
    private fun schedule() {
        val next = requester.nextTime
        if (next >= timerAt) return
        timer?.cancel(false)
        timerAt = next
        timer = loop.schedule({ onTimer() }, maxOf(0, next - clock.monotonicNanos()), TimeUnit.NANOSECONDS)
    }

    private fun onTimer() {
        timerAt = Long.MAX_VALUE
        timer = null
        requester.onTime(clock.monotonicNanos())
        schedule()
    }

    private inner class Port : QuotaRequesterPort {
        override fun ask(
            holder: String,
            ask: CreditAsk,
        ): Boolean {
            val account = ask.account.value
            if (!lendsCredit(holder)) {
                askedCharges[ask.id] = ask.cost
                if (askedCharges.size > MAX_REMEMBERED) askedCharges.remove(askedCharges.keys.first())
                return send(holder, PeerMessage.ChargeRequest(self, incarnation, ask.id, account, ask.cost, ask.raise))
            }
            val request =
                PeerMessage.CreditRequest(self, incarnation, ask.id, account, ask.cost, ask.ahead, ask.priority, ask.partial, ask.raise)
            return send(holder, request)
        }

        override fun giveBack(
            holder: String,
            id: Long,
            total: Double,
        ) {
            val charged = askedCharges[id]
            if (charged == null) {
                send(holder, PeerMessage.CreditReturn(self, incarnation, id, total))
            } else if (total >= charged - ROUNDING) {
                // Such a release refunds whole charges only; what is left of another one counts until it leaves the window.
                send(holder, PeerMessage.ChargeRefund(self, incarnation, id))
            }
        }

        override fun raiseCeiling(
            account: ServedAccount,
            cost: Double,
        ) = this@QuotaCharger.raiseCeiling(account, cost)
    }

    private data class ChargeKey(
        val sender: String,
        val incarnation: Long,
        val id: Long,
    )

    private class GrantedCharge(
        val charge: QuotaCharge.Granted,
    ) {
        var refunded = false
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L

        /** Remembered charges for and by instances of earlier releases, to handle duplicate requests and refunds. */
        const val MAX_REMEMBERED = 4_096

        /** Such an instance counts a charge from when it grants it, and its own requests start at most this long after asking. */
        const val CHARGE_VALID_NANOS = 100_000_000L

        /** Time after which such a holder without room is asked again, as in its own release. */
        const val CHARGE_WAIT_NANOS = 150_000_000L

        /** Time in which such a holder raises a ceiling, as in its own release. */
        const val CHARGE_RAISE_NANOS = 30_000_000L

        /** Larger than the rounding errors of sums of units, far below one unit. */
        const val ROUNDING = 1e-6
    }
}
