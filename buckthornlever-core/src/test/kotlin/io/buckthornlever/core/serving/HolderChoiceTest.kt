package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.AccountHolding
import io.buckthornlever.api.serving.QuotaHoldings
import io.buckthornlever.api.serving.QuotaShare
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals

class HolderChoiceTest {
    private val account = AccountId("a")
    private val holdings = QuotaHoldings(mapOf(account to AccountHolding(1.0, listOf("i", "j", "k", "j").map { QuotaShare(it) })))
    private val choice = QuotaHolderSelector("i")

    @Test
    fun `each other holder is asked once and near ones first`() {
        assertEquals(listOf("k", "j"), order { it == "k" })
        assertEquals(listOf("j", "k"), order { it == "j" })
    }

    @Test
    fun `holders that are known to have room come first and those without are left out for a moment`() {
        choice.onReported(account, "j", 50.0, 0)
        assertEquals(listOf("j", "k"), order { it == "k" })
        choice.onReported(account, "j", 5.0, 0)
        assertEquals(listOf("k"), order { it == "k" })
        assertEquals(listOf("k", "j"), choice.candidates(holdings, account, 10.0, Duration.ofMillis(200).toNanos()) { it == "k" })
    }

    @Test
    fun `a silent holder is left out until it is heard again or a second is over`() {
        choice.onTimeout("j", 0)
        assertEquals(listOf("k"), order { it == "j" })
        choice.onReported(account, "j", 50.0, 0)
        assertEquals(listOf("j", "k"), order { it == "j" })
        choice.onTimeout("j", 0)
        assertEquals(listOf("j", "k"), choice.candidates(holdings, account, 10.0, Duration.ofSeconds(2).toNanos()) { it == "j" })
    }

    private fun order(near: (String) -> Boolean): List<String> = choice.candidates(holdings, account, 10.0, 0, near)
}
