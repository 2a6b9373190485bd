package io.buckthornlever.gateway.process

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.serving.ServedAccount
import io.buckthornlever.core.serving.LocalQuotaLimiter
import io.buckthornlever.core.serving.QuotaHolderSelector
import io.buckthornlever.core.serving.QuotaCharge
import io.netty.channel.EventLoop
import java.time.Duration
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit

/**
 * Charges requests to the quotas of their accounts: to shares of this instance where they have room, else to those of another
 * instance, which is asked by datagram.
 *
 * @param account account of an id in the table in force
 * @param send sends a message to an instance; returns false when it is not known
 * @param near tells whether an instance is in the same failure domain
 * @param raise asks for a higher ceiling of an account's shares
 */
internal class QuotaCharger(
    private val self: String,
    private val incarnation: Long,
    private val loop: EventLoop,
    private val clock: Clock,
    private val held: LocalQuotaLimiter,
    private val account: (AccountId) -> ServedAccount?,
    private val send: (String, PeerMessage) -> Boolean,
    private val near: (String) -> Boolean,
    private val raise: (AccountId) -> Unit,
) {
    private val choice = QuotaHolderSelector(self)
    private val open = HashMap<Long, Question>()
    private val answered = LinkedHashMap<Asked, Charged>()
    private val abandoned = LinkedHashSet<Long>()
    private var nextId = 0L

    /** Charges [cost] units to [account] and hands over the outcome, at once where this instance's own shares decide. */
    fun charge(
        account: ServedAccount,
        cost: Double,
        done: (QuotaOutcome) -> Unit,
    ) {
        if (account.ratePerSecond <= 0) return done(QuotaOutcome.Unlimited)
        val own = held.charge(account, cost, clock.monotonicNanos())
        if (own is QuotaCharge.Granted) return done(QuotaOutcome.ChargedLocally(own))
        Question(account, cost, done, own == QuotaCharge.AboveCeiling).askNext()
    }

    /** Takes back the charge of a request that did not run. */
    fun refund(charged: QuotaOutcome) {
        when (charged) {
            is QuotaOutcome.ChargedLocally -> held.refund(charged.charge, clock.monotonicNanos())
            is QuotaOutcome.ChargedRemotely -> send(charged.holder, PeerMessage.ChargeReturned(self, incarnation, charged.id))
            QuotaOutcome.Unlimited, QuotaOutcome.Exhausted, QuotaOutcome.Unreachable -> Unit
        }
    }

    /** Another instance asks for a charge to shares of this one. */
    fun asked(question: PeerMessage.ChargeQuestion) {
        val now = clock.monotonicNanos()
        val asked = Asked(question.sender, question.incarnation, question.id)
        val id = AccountId(question.account)
        val known = account(id)
        val repeated = answered[asked]
        val verdict =
            when {
                repeated != null -> PeerMessage.Verdict.CHARGED
                known == null || !(question.cost >= 0) -> PeerMessage.Verdict.NO_ROOM
                else -> charged(asked, known, question, now)
            }
        val free = if (known == null) 0.0 else held.available(known, now)
        send(question.sender, PeerMessage.ChargeAnswer(self, question.incarnation, question.id, verdict, free))
    }

    /** A holder has answered. */
    fun answered(answer: PeerMessage.ChargeAnswer) {
        if (answer.incarnation != incarnation) return
        val question = open[answer.id]
        if (question != null) return question.answered(answer)
        // A second copy of an answer that was used must not take the charge back.
        if (abandoned.remove(answer.id) && answer.verdict == PeerMessage.Verdict.CHARGED) {
            refund(QuotaOutcome.ChargedRemotely(answer.sender, answer.id))
        }
    }

    /** A request that another instance had charged here did not run. */
    fun returned(message: PeerMessage.ChargeReturned) {
        val charged = answered[Asked(message.sender, message.incarnation, message.id)] ?: return
        if (charged.returned) return
        charged.returned = true
        held.refund(charged.charge, clock.monotonicNanos())
    }

    private fun charged(
        asked: Asked,
        account: ServedAccount,
        question: PeerMessage.ChargeQuestion,
        now: Long,
    ): PeerMessage.Verdict =
        when (val charge = held.charge(account, question.cost, now)) {
            is QuotaCharge.Granted -> {
                answered[asked] = Charged(charge)
                if (answered.size > REMEMBERED) answered.remove(answered.keys.first())
                PeerMessage.Verdict.CHARGED
            }
            QuotaCharge.AboveCeiling -> {
                if (question.raise) raise(account.id)
                PeerMessage.Verdict.LATER
            }
            QuotaCharge.Exhausted -> PeerMessage.Verdict.NO_ROOM
        }

    private inner class Question(
        private val account: ServedAccount,
        private val cost: Double,
        private val done: (QuotaOutcome) -> Unit,
        private var ownLater: Boolean,
    ) {
        private var later = ownLater
        private val asked = HashSet<String>()
        private var id = 0L
        private var holder = ""
        private var heard = later
        private var rounds = 1
        private var timer: Future<*>? = null

        fun askNext() {
            val now = clock.monotonicNanos()
            val holdings = held.holdings ?: return done(QuotaOutcome.Unreachable)
            // What was heard in the first round does not say what a higher ceiling leaves.
            val least = if (rounds == 1) cost else 0.0
            val next = choice.candidates(holdings, account.id, least, now, near).firstOrNull { it !in asked }
            if (next == null || asked.size >= MAX_ASKED) return exhausted()
            asked.add(next)
            holder = next
            id = nextId++
            if (!send(next, message())) return askNext()
            open[id] = this
            timer = loop.schedule({ silent() }, ANSWER_TIME.toMillis(), TimeUnit.MILLISECONDS)
        }

        private fun message() = PeerMessage.ChargeQuestion(self, incarnation, id, account.id.value, cost, raise = rounds > 1)

        fun answered(answer: PeerMessage.ChargeAnswer) {
            settle()
            heard = true
            choice.onReported(account.id, answer.sender, answer.free, clock.monotonicNanos())
            when (answer.verdict) {
                PeerMessage.Verdict.CHARGED -> done(QuotaOutcome.ChargedRemotely(answer.sender, answer.id))
                PeerMessage.Verdict.LATER -> {
                    later = true
                    askNext()
                }
                PeerMessage.Verdict.NO_ROOM -> askNext()
            }
        }

        private fun silent() {
            settle()
            abandoned.add(id)
            if (abandoned.size > REMEMBERED) abandoned.remove(abandoned.first())
            choice.onTimeout(holder, clock.monotonicNanos())
            askNext()
        }

        private fun settle() {
            open.remove(id)
            timer?.cancel(false)
        }

        private fun exhausted() {
            // Holders that were left out in the first round because they had no room may have some above their ceiling.
            if (rounds == 1 && (held.holdings?.accounts?.get(account.id)?.ceiling ?: 1.0) < 1) later = true
            if (later && rounds++ < MAX_ROUNDS) {
                // Ceilings are raised only when none leaves room, since what lies above them is free after a restart.
                if (ownLater) raise(account.id)
                asked.clear()
                loop.schedule({ again() }, RAISE_TIME.toMillis(), TimeUnit.MILLISECONDS)
            } else {
                done(if (heard || asked.isEmpty()) QuotaOutcome.Exhausted else QuotaOutcome.Unreachable)
            }
        }

        private fun again() {
            val own = held.charge(account, cost, clock.monotonicNanos())
            if (own is QuotaCharge.Granted) return done(QuotaOutcome.ChargedLocally(own))
            ownLater = own == QuotaCharge.AboveCeiling
            later = ownLater
            askNext()
        }
    }

    private data class Asked(
        val sender: String,
        val incarnation: Long,
        val id: Long,
    )

    private class Charged(
        val charge: QuotaCharge.Granted,
    ) {
        var returned = false
    }

    private companion object {
        /** Holders asked for one request; more would cost the caller more time than a later try. */
        const val MAX_ASKED = 5

        /** Rounds of questions while ceilings are being raised. */
        const val MAX_ROUNDS = 4

        /** Charges for other instances that are remembered, for repeated questions and returns. */
        const val REMEMBERED = 4_096

        /** Many round trips between failure domains. */
        val ANSWER_TIME: Duration = Duration.ofMillis(100)

        /** Time in which the store takes a higher ceiling and its writer learns of that. */
        val RAISE_TIME: Duration = Duration.ofMillis(30)
    }
}
