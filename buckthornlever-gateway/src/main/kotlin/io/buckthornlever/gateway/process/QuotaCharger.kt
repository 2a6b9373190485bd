package io.buckthornlever.gateway.process

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.serving.ServedAccount
import io.buckthornlever.core.serving.LocalQuotaLimiter
import io.buckthornlever.core.serving.QuotaCharge
import io.buckthornlever.core.serving.QuotaHolderSelector
import io.netty.channel.EventLoop
import java.time.Duration
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit

/**
 * Charges requests to the quotas of their client accounts: to shares held by this instance while they have room, otherwise to
 * shares held by another instance, which is asked by datagram.
 *
 * @param findAccount looks up an account in the current serving table
 * @param send sends a message to the named instance; returns false if it was not sent, for example because the instance is unknown
 * @param isNear tells whether the named instance is in the same failure domain
 * @param raiseCeiling requests a ceiling under which that many units more can be charged to the shares of an account
 */
internal class QuotaCharger(
    private val self: String,
    private val incarnation: Long,
    private val loop: EventLoop,
    private val clock: Clock,
    private val localLimiter: LocalQuotaLimiter,
    private val findAccount: (AccountId) -> ServedAccount?,
    private val send: (String, PeerMessage) -> Boolean,
    private val isNear: (String) -> Boolean,
    private val raiseCeiling: (ServedAccount, Double) -> Unit,
) {
    private val holderSelector = QuotaHolderSelector(self)
    private val openCharges = HashMap<Long, RemoteCharge>()
    private val grantedCharges = LinkedHashMap<ChargeKey, GrantedCharge>()
    private val timedOutIds = LinkedHashSet<Long>()
    private var nextId = 0L

    /** Charges [cost] units to [account] and passes the outcome to [done], before returning if no other instance has to be asked. */
    fun charge(
        account: ServedAccount,
        cost: Double,
        done: (QuotaOutcome) -> Unit,
    ) {
        if (account.ratePerSecond <= 0) return done(QuotaOutcome.Unlimited)
        val local = localLimiter.charge(account, cost, clock.monotonicNanos())
        if (local is QuotaCharge.Granted) return done(QuotaOutcome.ChargedLocally(local))
        RemoteCharge(account, cost, done, local == QuotaCharge.AboveCeiling).askNext()
    }

    /** Units of [account] that all instances together may grant in one window. */
    fun limitOf(account: ServedAccount): Double = localLimiter.limitOf(account)

    /** Refunds the charge of a request that did not run. */
    fun refund(outcome: QuotaOutcome) {
        when (outcome) {
            is QuotaOutcome.ChargedLocally -> localLimiter.refund(outcome.charge, clock.monotonicNanos())
            is QuotaOutcome.ChargedRemotely -> send(outcome.holder, PeerMessage.ChargeRefund(self, incarnation, outcome.id))
            QuotaOutcome.Unlimited, QuotaOutcome.Exhausted, QuotaOutcome.Unreachable -> Unit
        }
    }

    /** Handles a request of another instance to charge shares held by this one. */
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

    /** Handles a holder's response. */
    fun onChargeResponse(response: PeerMessage.ChargeResponse) {
        if (response.incarnation != incarnation) return
        val pending = openCharges[response.id]
        if (pending != null) return pending.onResponse(response)
        // Refunds only charges that were given up on: a duplicate of a response already used must not refund its charge.
        if (timedOutIds.remove(response.id) && response.verdict == PeerMessage.Verdict.CHARGED) {
            refund(QuotaOutcome.ChargedRemotely(response.sender, response.id))
        }
    }

    /** Refunds a charge made here for another instance whose request did not run. */
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

    /** A charge that is being offered to other holders, in rounds while a holder raises its ceiling. */
    private inner class RemoteCharge(
        private val account: ServedAccount,
        private val cost: Double,
        private val done: (QuotaOutcome) -> Unit,
        private var ownCeilingReached: Boolean,
    ) {
        private var ceilingReached = ownCeilingReached
        private val askedHolders = HashSet<String>()
        private var id = 0L
        private var holder = ""
        private var gotResponse = ceilingReached
        private var round = 1
        private var timer: Future<*>? = null

        fun askNext() {
            val now = clock.monotonicNanos()
            val holdings = localLimiter.holdings ?: return done(QuotaOutcome.Unreachable)
            val next = holderSelector.candidates(holdings, account.id, cost, now, isNear).firstOrNull { it !in askedHolders }
            if (next == null || askedHolders.size >= MAX_ASKED) return onHoldersExhausted()
            askedHolders.add(next)
            holder = next
            id = nextId++
            if (!send(next, chargeRequest())) return askNext()
            openCharges[id] = this
            timer = loop.schedule({ onTimeout() }, RESPONSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
        }

        private fun chargeRequest() = PeerMessage.ChargeRequest(self, incarnation, id, account.id.value, cost, raise = round > 1)

        fun onResponse(response: PeerMessage.ChargeResponse) {
            close()
            gotResponse = true
            holderSelector.onReported(account.id, response.sender, response.free, clock.monotonicNanos())
            when (response.verdict) {
                PeerMessage.Verdict.CHARGED -> done(QuotaOutcome.ChargedRemotely(response.sender, response.id))
                PeerMessage.Verdict.LATER -> {
                    ceilingReached = true
                    // One raised ceiling is enough; more would only leave less for these holders after a restart.
                    if (round == 1) askNext() else onHoldersExhausted()
                }
                PeerMessage.Verdict.NO_ROOM -> askNext()
            }
        }

        private fun onTimeout() {
            close()
            timedOutIds.add(id)
            if (timedOutIds.size > MAX_REMEMBERED) timedOutIds.remove(timedOutIds.first())
            holderSelector.onTimeout(holder, clock.monotonicNanos())
            askNext()
        }

        private fun close() {
            openCharges.remove(id)
            timer?.cancel(false)
        }

        private fun onHoldersExhausted() {
            if (ceilingReached && round++ < MAX_ROUNDS) {
                // Ceilings are raised only when no holder has room: the part above them is what a restarted holder may grant at once.
                if (ownCeilingReached) raiseCeiling(account, cost)
                askedHolders.clear()
                loop.schedule({ startNextRound() }, CEILING_RAISE_TIME.toMillis(), TimeUnit.MILLISECONDS)
            } else {
                done(if (gotResponse || askedHolders.isEmpty()) QuotaOutcome.Exhausted else QuotaOutcome.Unreachable)
            }
        }

        private fun startNextRound() {
            val local = localLimiter.charge(account, cost, clock.monotonicNanos())
            if (local is QuotaCharge.Granted) return done(QuotaOutcome.ChargedLocally(local))
            ownCeilingReached = local == QuotaCharge.AboveCeiling
            ceilingReached = ownCeilingReached
            if (ownCeilingReached) onHoldersExhausted() else askNext()
        }
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
        /** Holders asked in one round; asking more would cost the caller more time than retrying later. */
        const val MAX_ASKED = 5

        /** Rounds of requests to holders, each after ceilings have been raised. */
        const val MAX_ROUNDS = 4

        /** Remembered charges for other instances, to handle duplicate requests and refunds, and remembered timed-out requests. */
        const val MAX_REMEMBERED = 4_096

        /** Time to wait for a holder's response: many round trips between failure domains. */
        val RESPONSE_TIMEOUT: Duration = Duration.ofMillis(100)

        /** Time for a higher ceiling to be written to the store and the writer to receive the result. */
        val CEILING_RAISE_TIME: Duration = Duration.ofMillis(30)
    }
}
