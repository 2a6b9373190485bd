package io.buckthornlever.gateway.process

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.process.SystemClock
import io.buckthornlever.api.serving.AccountHolding
import io.buckthornlever.api.serving.QuotaHoldings
import io.buckthornlever.api.serving.QuotaShare
import io.buckthornlever.api.serving.QuotaUnit
import io.buckthornlever.api.serving.RecordedCeilings
import io.buckthornlever.api.serving.ServedAccount
import io.buckthornlever.core.serving.LocalQuotaLimiter
import io.buckthornlever.core.serving.QuotaBounds
import io.buckthornlever.core.serving.QuotaCeilings
import io.buckthornlever.core.serving.QuotaDecision
import io.netty.channel.nio.NioEventLoopGroup
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Runs instances that charge quota at each other over a network that loses and duplicates messages. */
class QuotaChargerTest {
    private val group = NioEventLoopGroup(1)
    private val loop = group.next()
    private val chargers = HashMap<String, QuotaCharger>()
    private val limiters = HashMap<String, LocalQuotaLimiter>()
    private val ceilings = HashMap<String, QuotaCeilings>()
    private val silentInstances = HashSet<String>()
    private val olderReleases = HashSet<String>()
    private var copies = 1
    private var hasCredit = true

    @AfterTest
    fun stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    @Test
    fun `a holder charges its own shares and asks nobody`() {
        site(1.0, "a", "b")
        silentInstances.add("b")
        assertIs<QuotaDecision.ChargedLocally>(charge("a", 40.0))
    }

    @Test
    fun `an instance without shares has its requests charged by a holder until the quota is used up`() {
        site(1.0, "b")
        repeat(8) { assertIs<QuotaDecision.ChargedToCredit>(charge("a", 10.0)) }
        assertIs<QuotaDecision.NoRoom>(charge("a", 10.0))
    }

    @Test
    fun `a refunded charge is available to others`() {
        site(1.0, "b")
        val charged = charge("a", 80.0)
        assertEquals(0.0, free("b"))
        onLoop { chargers.getValue("a").refund(charged) }
        // The units stay with "a" for its next request until the credit expires.
        awaitFree("b", 80.0)
    }

    @Test
    fun `credit that is not spent is returned when it expires`() {
        site(1.0, "b")
        repeat(3) { assertIs<QuotaDecision.ChargedToCredit>(charge("a", 10.0)) }
        awaitFree("b", 50.0)
    }

    @Test
    fun `a request of an instance of an earlier release is charged once and refunded once`() {
        site(1.0, "b")
        val request = PeerMessage.ChargeRequest("a", 1, 7, ACCOUNT.id.value, 30.0, raise = false)
        repeat(2) { onLoop { chargers.getValue("b").onChargeRequest(request) } }
        assertEquals(50.0, free("b"))
        repeat(2) { onLoop { chargers.getValue("b").onChargeRefund(PeerMessage.ChargeRefund("a", 1, 7)) } }
        assertEquals(80.0, free("b"))
    }

    @Test
    fun `a holder of an earlier release is asked for single charges`() {
        olderReleases.add("b")
        site(1.0, "b")
        repeat(8) { assertIs<QuotaDecision.ChargedToCredit>(charge("a", 10.0)) }
        assertIs<QuotaDecision.NoRoom>(charge("a", 10.0))
    }

    @Test
    fun `a holder of an earlier release gets a charge back that was not used`() {
        olderReleases.add("b")
        site(1.0, "b")
        val charged = charge("a", 80.0)
        assertEquals(0.0, free("b"))
        onLoop { chargers.getValue("a").refund(charged) }
        awaitFree("b", 80.0)
    }

    @Test
    fun `duplicates of a charge request and response of an earlier release change nothing`() {
        olderReleases.add("b")
        copies = 2
        site(1.0, "b")
        assertIs<QuotaDecision.ChargedToCredit>(charge("a", 30.0))
        assertEquals(50.0, free("b"))
    }

    @Test
    fun `a holder of an earlier release raises its ceiling when no holder has room below its own`() {
        olderReleases.add("b")
        hasCredit = false
        site(0.5, "b")
        repeat(4) { assertIs<QuotaDecision.ChargedToCredit>(charge("a", 10.0)) }
        assertIs<QuotaDecision.ChargedToCredit>(charge("a", 5.0))
    }

    @Test
    fun `a duplicate of a charge request or response changes nothing`() {
        copies = 2
        site(1.0, "b")
        assertIs<QuotaDecision.ChargedToCredit>(charge("a", 30.0))
        assertEquals(50.0, free("b"))
    }

    @Test
    fun `a holder that does not respond is skipped`() {
        site(1.0, "b", "c")
        silentInstances.add("b")
        repeat(4) {
            val charged = assertIs<QuotaDecision.ChargedToCredit>(charge("a", 10.0))
            assertEquals(setOf("c"), charged.parts.mapTo(HashSet()) { it.credit.holder })
        }
        assertIs<QuotaDecision.NoRoom>(charge("a", 10.0))
    }

    @Test
    fun `a quota is unreachable if no holder responds`() {
        site(1.0, "b")
        silentInstances.add("b")
        assertIs<QuotaDecision.Unknown>(charge("a", 10.0))
    }

    @Test
    fun `a ceiling is raised only when no holder has room below it`() {
        hasCredit = false
        site(0.5, "b", "c")
        repeat(4) { charge("a", 10.0) }
        assertEquals(listOf(0.5, 0.5), listOf(ceiling("b"), ceiling("c")))
        assertIs<QuotaDecision.ChargedToCredit>(charge("a", 5.0))
        assertEquals(listOf(0.5, 0.75), listOf(ceiling("b"), ceiling("c")).sorted())
    }

    private fun site(
        ceiling: Double,
        vararg holders: String,
    ) {
        val holdings = QuotaHoldings(mapOf(ACCOUNT.id to AccountHolding(ceiling, holders.map { QuotaShare(it) })))
        for (name in listOf("a", "b", "c")) {
            val now = SystemClock.monotonicNanos()
            val ownCeilings = QuotaCeilings(WINDOW, now)
            ownCeilings.onRead(RecordedCeilings(0.0))
            ownCeilings.onWritten(RecordedCeilings(ceiling))
            ceilings[name] = ownCeilings
            val limiter = LocalQuotaLimiter(name, QuotaBounds(WINDOW, 0.0, 0.0), now, ownCeilings)
            limiter.update(holdings, now)
            limiter.onConfirmed(now)
            limiters[name] = limiter
            val raise = { account: ServedAccount, cost: Double -> raise(name, limiter, account, cost) }
            chargers[name] =
                QuotaCharger(name, 1, loop, SystemClock, limiter, { ACCOUNT }, ::send, { false }, raise, hasCredit) { it !in olderReleases }
        }
    }

    private fun raise(
        name: String,
        limiter: LocalQuotaLimiter,
        account: ServedAccount,
        cost: Double,
    ) {
        val now = SystemClock.monotonicNanos()
        limiter.requestRaise(account, cost, now)
        val own = ceilings.getValue(name)
        own.next(now) { limiter.usedFractions({ account }, now) }?.let(own::onWritten)
    }

    private fun send(
        to: String,
        message: PeerMessage,
    ): Boolean {
        if (message.sender in silentInstances) return true
        repeat(copies) { loop.execute { deliver(chargers.getValue(to), message) } }
        return true
    }

    private fun deliver(
        charger: QuotaCharger,
        message: PeerMessage,
    ) = when (message) {
        is PeerMessage.CreditRequest -> charger.onCreditRequest(message)
        is PeerMessage.CreditResponse -> charger.onCreditResponse(message)
        is PeerMessage.CreditReturn -> charger.onCreditReturn(message)
        is PeerMessage.ChargeRequest -> charger.onChargeRequest(message)
        is PeerMessage.ChargeResponse -> charger.onChargeResponse(message)
        is PeerMessage.ChargeRefund -> charger.onChargeRefund(message)
        else -> error("${message::class.simpleName} is not sent by QuotaCharger")
    }

    private fun charge(
        name: String,
        cost: Double,
    ): QuotaDecision {
        val outcome = CompletableFuture<QuotaDecision>()
        loop.execute { chargers.getValue(name).charge(ACCOUNT, cost, 0, MAX_WAIT) { outcome.complete(it) } }
        return outcome.get(5, TimeUnit.SECONDS).also { onLoop { } }
    }

    private fun free(name: String): Double {
        var free = 0.0
        // The first of the two tasks runs after every message that is already queued on the loop.
        repeat(2) { onLoop { free = limiters.getValue(name).available(ACCOUNT, SystemClock.monotonicNanos()) } }
        return free
    }

    private fun awaitFree(
        name: String,
        units: Double,
    ) {
        val deadline = System.nanoTime() + Duration.ofSeconds(5).toNanos()
        while (free(name) != units && System.nanoTime() < deadline) Thread.sleep(20)
        assertEquals(units, free(name))
    }

    private fun ceiling(name: String): Double = ceilings.getValue(name).grantable(ACCOUNT.id, SystemClock.monotonicNanos())

    private fun onLoop(action: () -> Unit) {
        loop.submit(action).sync()
    }

    private companion object {
        val WINDOW: Duration = Duration.ofMinutes(1)
        val MAX_WAIT: Duration = Duration.ofMillis(500)

        /** An account with 80 units per window of one minute. */
        val ACCOUNT = ServedAccount(AccountId("x"), setOf("k"), null, QuotaUnit.REQUESTS, 1, 1.0, 20.0)
    }
}
