package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.AccountHolding
import io.buckthornlever.api.serving.QuotaHoldings
import io.buckthornlever.api.serving.QuotaShare
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals

class QuotaHolderSelectorTest {
    private val account = AccountId("a")
    private val holdings = QuotaHoldings(mapOf(account to AccountHolding(1.0, listOf("i", "j", "k", "j").map { QuotaShare(it) })))
    private val selector = QuotaHolderSelector("i")

    @Test
    fun `each other holder is asked once and near ones first`() {
        assertEquals(listOf("k", "j"), order { it == "k" })
        assertEquals(listOf("j", "k"), order { it == "j" })
    }

    @Test
    fun `holders with enough reported units come first and those without are left out for a moment`() {
        selector.onReported(account, "j", 50.0, 0)
        assertEquals(listOf("j", "k"), order { it == "k" })
        selector.onReported(account, "j", 5.0, 0)
        assertEquals(listOf("k"), order { it == "k" })
        assertEquals(listOf("k", "j"), selector.candidates(holdings, account, 10.0, Duration.ofMillis(200).toNanos()) { it == "k" })
    }

    @Test
    fun `a holder that did not answer is left out until it answers a probe`() {
        selector.onTimeout("j", 0)
        assertEquals(listOf("k"), order { it == "j" })
        assertEquals(emptyList(), selector.probesDue(holdings, account, 0))
        val later = Duration.ofSeconds(1).toNanos()
        assertEquals(listOf("j"), selector.probesDue(holdings, account, later))
        // No request waits for a holder that may still be silent.
        assertEquals(listOf("k"), selector.candidates(holdings, account, 10.0, later) { it == "j" })
        selector.onReported(account, "j", 50.0, later)
        assertEquals(listOf("j", "k"), selector.candidates(holdings, account, 10.0, later) { it == "j" })
    }

    @Test
    fun `the pause between probes doubles up to a bound and ends with an answer`() {
        var nanos = 0L
        val pauses = List(6) {
            selector.onTimeout("j", nanos)
            val start = nanos
            while (selector.probesDue(holdings, account, nanos).isEmpty()) nanos += Duration.ofMillis(10).toNanos()
            Duration.ofNanos(nanos - start).toMillis()
        }
        assertEquals(listOf(250L, 500L, 1_000L, 1_500L, 1_500L, 1_500L), pauses)
        selector.onReported(account, "j", 50.0, nanos)
        selector.onTimeout("j", nanos)
        assertEquals(listOf("j"), selector.probesDue(holdings, account, nanos + Duration.ofMillis(250).toNanos()))
    }

    @Test
    fun `a holder without room is not asked before the time it has named, except for more urgent or smaller requests`() {
        val wait = Duration.ofSeconds(2).toNanos()
        selector.onReported(account, "j", 5.0, 0, wait, priority = 1)
        val soon = wait - 1
        assertEquals(listOf("k"), selector.candidates(holdings, account, 10.0, soon, 1) { true })
        assertEquals(2, selector.candidates(holdings, account, 10.0, soon, 0) { true }.size)
        assertEquals(2, selector.candidates(holdings, account, 4.0, soon, 1) { true }.size)
        assertEquals(2, selector.candidates(holdings, account, 10.0, wait, 1) { true }.size)
        assertEquals(wait, selector.roomExpectedAt(holdings, account, 10.0, 1, soon))
    }

    @Test
    fun `a holder without room for a large request is asked for a small one`() {
        val wait = Duration.ofSeconds(2).toNanos()
        selector.onAnswer(account, "j", CreditAnswer(0, 0.0, 0.0, wait, false, 375.0, 500.0), 2, 0)
        assertEquals(listOf("k"), selector.candidates(holdings, account, 400.0, 0, 2) { true })
        assertEquals(listOf("j", "k"), selector.candidates(holdings, account, 200.0, 0, 2) { true })
        selector.onAnswer(account, "j", CreditAnswer(0, 0.0, 0.0, wait, false, 375.0, 100.0), 2, 0)
        assertEquals(listOf("k"), selector.candidates(holdings, account, 200.0, 0, 2) { true })
    }

    @Test
    fun `what a holder keeps for urgent requests does not hide that it has no room for them either`() {
        val wait = Duration.ofSeconds(2).toNanos()
        selector.onReported(account, "j", 5.0, 0, wait, priority = 0)
        selector.onReported(account, "j", 0.0, 0, wait, priority = 2)
        assertEquals(listOf("k"), selector.candidates(holdings, account, 10.0, 0, 0) { true })
        selector.onReported(account, "j", 20.0, 0, 0, priority = 0)
        assertEquals(listOf("j", "k"), selector.candidates(holdings, account, 10.0, 0, 0) { true })
        assertEquals(listOf("k"), selector.candidates(holdings, account, 10.0, 0, 2) { true })
    }

    private fun order(near: (String) -> Boolean): List<String> = selector.candidates(holdings, account, 10.0, 0, isNear = near)
}
