package io.buckthornlever.gateway.process

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.process.SystemClock
import io.buckthornlever.api.serving.AccountHolding
import io.buckthornlever.api.serving.QuotaHoldings
import io.buckthornlever.api.serving.QuotaShare
import io.buckthornlever.api.serving.QuotaUnit
import io.buckthornlever.api.serving.ServedAccount
import io.buckthornlever.core.serving.LocalQuotaLimiter
import io.buckthornlever.core.serving.QuotaBounds
import io.netty.channel.nio.NioEventLoopGroup
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Plays instances that ask each other for charges over a network that loses and repeats messages. */
class QuotaChargerTest {
    private val group = NioEventLoopGroup(1)
    private val loop = group.next()
    private val desks = HashMap<String, QuotaCharger>()
    private val held = HashMap<String, LocalQuotaLimiter>()
    private val lostFrom = HashSet<String>()
    private var copies = 1

    @AfterTest
    fun stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    @Test
    fun `a holder charges its own shares and asks nobody`() {
        site(1.0, "a", "b")
        lostFrom.add("b")
        assertIs<QuotaOutcome.ChargedLocally>(charge("a", 40.0))
    }

    @Test
    fun `an instance without shares has its requests charged by a holder until the quota is used up`() {
        site(1.0, "b")
        repeat(8) { assertIs<QuotaOutcome.ChargedRemotely>(charge("a", 10.0)) }
        assertEquals(QuotaOutcome.Exhausted, charge("a", 10.0))
    }

    @Test
    fun `a charge that is given back is free for others`() {
        site(1.0, "b")
        val charged = charge("a", 80.0)
        assertEquals(0.0, free("b"))
        onLoop { desks.getValue("a").refund(charged) }
        assertEquals(80.0, free("b"))
    }

    @Test
    fun `a second copy of an answer or question changes nothing`() {
        copies = 2
        site(1.0, "b")
        assertIs<QuotaOutcome.ChargedRemotely>(charge("a", 30.0))
        assertEquals(50.0, free("b"))
    }

    @Test
    fun `a silent holder is passed over`() {
        site(1.0, "b", "c")
        lostFrom.add("b")
        repeat(4) { assertEquals("c", assertIs<QuotaOutcome.ChargedRemotely>(charge("a", 10.0)).holder) }
        assertEquals(QuotaOutcome.Exhausted, charge("a", 10.0))
    }

    @Test
    fun `without any answer the quota cannot be reached`() {
        site(1.0, "b")
        lostFrom.add("b")
        assertEquals(QuotaOutcome.Unreachable, charge("a", 10.0))
    }

    @Test
    fun `a ceiling is raised only when no holder has room below it`() {
        site(0.5, "b", "c")
        repeat(4) { charge("a", 10.0) }
        assertEquals(0.5, ceiling())
        assertIs<QuotaOutcome.ChargedRemotely>(charge("a", 5.0))
        assertEquals(0.65, ceiling())
    }

    private fun site(
        ceiling: Double,
        vararg holders: String,
    ) {
        val division = QuotaHoldings(mapOf(ACCOUNT.id to AccountHolding(ceiling, holders.map { QuotaShare(it) })))
        for (name in listOf("a", "b", "c")) {
            val now = SystemClock.monotonicNanos()
            val quotas = LocalQuotaLimiter(name, QuotaBounds(Duration.ofMinutes(1), 0.0, 0.0), now, true)
            quotas.update(division, now)
            quotas.onConfirmed(now)
            held[name] = quotas
            desks[name] = QuotaCharger(name, 1, loop, SystemClock, quotas, { ACCOUNT }, ::send, { false }, { raise(quotas) })
        }
    }

    private fun raise(quotas: LocalQuotaLimiter) {
        val next = quotas.withRaisedCeiling(ACCOUNT.id) ?: return
        held.values.forEach { it.update(next, SystemClock.monotonicNanos()) }
    }

    private fun send(
        to: String,
        message: PeerMessage,
    ): Boolean {
        if (message.sender in lostFrom) return true
        repeat(copies) { loop.execute { deliver(desks.getValue(to), message) } }
        return true
    }

    private fun deliver(
        desk: QuotaCharger,
        message: PeerMessage,
    ) = when (message) {
        is PeerMessage.ChargeQuestion -> desk.asked(message)
        is PeerMessage.ChargeAnswer -> desk.answered(message)
        is PeerMessage.ChargeReturned -> desk.returned(message)
        is PeerMessage.State, is PeerMessage.Overview -> error("not sent by a desk")
    }

    private fun charge(
        name: String,
        cost: Double,
    ): QuotaOutcome {
        val outcome = CompletableFuture<QuotaOutcome>()
        loop.execute { desks.getValue(name).charge(ACCOUNT, cost) { outcome.complete(it) } }
        return outcome.get(5, TimeUnit.SECONDS).also { onLoop { } }
    }

    private fun free(name: String): Double {
        var free = 0.0
        // A message that is under way is delivered by the first of the two tasks at the latest.
        repeat(2) { onLoop { free = held.getValue(name).available(ACCOUNT, SystemClock.monotonicNanos()) } }
        return free
    }

    private fun ceiling(): Double = checkNotNull(held.getValue("b").holdings).accounts.getValue(ACCOUNT.id).ceiling

    private fun onLoop(action: () -> Unit) {
        loop.submit(action).sync()
    }

    private companion object {
        /** 80 units in the window of a minute. */
        val ACCOUNT = ServedAccount(AccountId("x"), setOf("k"), null, QuotaUnit.REQUESTS, 1, 1.0, 20.0)
    }
}
