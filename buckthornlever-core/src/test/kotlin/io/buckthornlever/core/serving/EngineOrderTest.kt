package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.AccountHolding
import io.buckthornlever.api.serving.QuotaHoldings
import io.buckthornlever.api.serving.QuotaShare
import io.buckthornlever.api.serving.QuotaUnit
import io.buckthornlever.api.serving.RecordedCeilings
import io.buckthornlever.api.serving.ServedAccount
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against engines that come too late for a burst, against a reclaim that leaves too few, against a new lease holder that hands
 * back what runs, and against engines that are paid for without need.
 */
class EngineOrderTest {
    @Test
    fun `a burst gets its engines as soon as an order can bring them, and they are handed back soon after it`() {
        val site = EngineSite(1, 16)
        site.run(60, USUAL)
        val before = site.running
        site.resetWait()
        site.run(8, USUAL * 2)
        println("burst: $before engines before, ${site.running} in it, longest wait ${site.longestWait.toMillis()} ms")
        assertTrue(site.longestWait < TARGET, "wait ${site.longestWait}")
        assertTrue(site.running >= before * 1.5, "${site.running} engines, $before before")
        site.run(15, USUAL)
        assertTrue(site.running <= before * 1.15, "${site.running} engines, $before before")
    }

    @Test
    fun `the engines left after the reclaim of a failure domain bear the load until others are in service`() {
        val site = EngineSite(1, 16)
        site.run(60, USUAL)
        val before = site.running
        val onDemand = site.onDemand
        site.resetWait()
        site.reclaim(0)
        val left = site.running
        site.run(13, USUAL)
        println("reclaim: $before engines, $left left, ${site.running} after 13 s, longest wait ${site.longestWait.toMillis()} ms")
        assertTrue(site.longestWait < TARGET, "wait ${site.longestWait}")
        assertTrue(onDemand <= before / 5, "$onDemand of $before engines are on-demand")
        site.run(40, USUAL)
        assertTrue(site.onDemand <= onDemand + 1, "${site.onDemand} on-demand engines, $onDemand before")
    }

    @Test
    fun `the engines left after a reclaim bear a burst that comes with it`() {
        val site = EngineSite(1, 16)
        site.run(60, USUAL)
        site.resetWait()
        site.reclaim(0)
        site.run(8, USUAL * 2)
        println("reclaim and burst: longest wait ${site.longestWait.toMillis()} ms")
        assertTrue(site.longestWait < TARGET, "wait ${site.longestWait}")
    }

    @Test
    fun `a second failure domain may be reclaimed while no reclaimable engines are available`() {
        val site = EngineSite(1, 16)
        site.run(60, USUAL)
        site.reclaim(0)
        site.run(8, USUAL)
        site.resetWait()
        site.reclaim(1)
        site.run(13, USUAL)
        println("second reclaim: longest wait ${site.longestWait.toMillis()} ms")
        assertTrue(site.longestWait < TARGET, "wait ${site.longestWait}")
    }

    @Test
    fun `a new lease holder keeps what runs until it has heard the demand and then follows the demand`() {
        val site = EngineSite(1, 16)
        site.run(60, USUAL)
        val before = site.running
        site.replaceHolder()
        site.run(20, USUAL, heard = { null })
        assertEquals(before, site.running)
        site.run(20, USUAL)
        assertTrue(site.running in (before * 0.9).toInt()..(before * 1.1).toInt(), "${site.running} engines, $before before")
    }

    @Test
    fun `a new lease holder that hears of all demand at once does not follow the first low figures`() {
        val site = EngineSite(1, 16)
        site.run(60, USUAL)
        val before = site.running
        site.replaceHolder()
        site.run(6, USUAL, heard = { USUAL / 20 })
        assertTrue(site.running >= before, "${site.running} engines, $before before")
    }

    @Test
    fun `what a hot account asks beyond its quota brings no engines`() {
        val account = ServedAccount(AccountId("a"), setOf("k"), null, QuotaUnit.TOKENS, 1, QUOTA, 0.0)
        val ceilings = QuotaCeilings(Duration.ofSeconds(8), 0)
        ceilings.onRead(RecordedCeilings(0.0))
        ceilings.onWritten(RecordedCeilings(1.0))
        val limiter = LocalQuotaLimiter("i", QuotaBounds(Duration.ofSeconds(8), 0.0, 0.0), 0, ceilings)
        val site = EngineSite(1, 16)
        val demand = DemandMeter()
        limiter.update(QuotaHoldings(mapOf(account.id to AccountHolding(1.0, listOf(QuotaShare("i", 0))))), 0)
        var engines = 0
        val ask = { perSecond: Double ->
            repeat((perSecond / 5 / REQUEST_TOKENS).toInt()) {
                limiter.onConfirmed(site.nanos)
                val isGranted = limiter.charge(account, REQUEST_TOKENS, site.nanos) is QuotaCharge.Granted
                if (isGranted) demand.onRequest("s", REQUEST_TOKENS.toInt(), site.nanos)
            }
            engines = maxOf(engines, site.running)
        }
        val heard = { demand.tokensPerSecond("s", site.nanos) }
        site.run(60, QUOTA, heard) { ask(QUOTA) }
        val before = site.running
        assertTrue(heard() > QUOTA / 2, "${heard()} tokens a second were granted")
        engines = 0
        site.run(30, QUOTA, heard) { ask(QUOTA * 6) }
        println("hot account: $before engines before, at most $engines while it asks for six times its quota")
        assertTrue(engines <= before * 2.2, "$engines engines, $before before")
    }

    @Test
    fun `engines are handed back within seconds when the demand ends`() {
        val site = EngineSite(1, 16)
        site.run(60, USUAL)
        site.run(14, 0.0)
        assertTrue(site.running <= 6, "${site.running} engines")
    }

    @Test
    fun `constant demand is served in time at less than the price of a third of on-demand engines`() {
        val site = EngineSite(1, 16)
        site.run(60, USUAL)
        val before = site.cost
        site.resetWait()
        site.run(60, USUAL)
        val price = (site.cost - before) / 60
        val needed = USUAL / 30_000
        println("constant: ${site.running} engines, price $price a second, longest wait ${site.longestWait.toMillis()} ms")
        assertTrue(price < needed / 3 + needed * 0.18, "price $price")
        assertTrue(site.longestWait < TARGET.dividedBy(4), "wait ${site.longestWait}")
    }

    private companion object {
        /** Prompt tokens a second. */
        const val USUAL = 800_000.0
        const val QUOTA = 400_000.0
        const val REQUEST_TOKENS = 2_000.0

        /** Target latency of the most urgent route. */
        val TARGET: Duration = Duration.ofMillis(1_019)
    }
}
