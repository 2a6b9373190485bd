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
import kotlin.test.assertIs

class QuotaRefundTest {
    private val ceilings =
        QuotaCeilings(Duration.ofSeconds(8), 0).apply {
            onRead(RecordedCeilings(0.0))
            onWritten(RecordedCeilings(1.0))
        }
    private val limiter =
        LocalQuotaLimiter("i", QuotaBounds(Duration.ofSeconds(8), 0.0, 0.0), 0, ceilings).apply {
            update(QuotaHoldings(mapOf(ACCOUNT.id to AccountHolding(1.0, listOf(QuotaShare("i"))))), 0)
            onConfirmed(0)
        }

    @Test
    fun `a late refund grants nothing beyond the quota afterwards`() {
        val charge = assertIs<QuotaCharge.Granted>(limiter.charge(ACCOUNT, 80.0, 0))
        limiter.refund(charge, Duration.ofSeconds(7).toNanos())
        val later = Duration.ofSeconds(9).toNanos()
        var granted = 0.0
        while (limiter.charge(ACCOUNT, 10.0, later) is QuotaCharge.Granted) granted += 10.0
        assertEquals(80.0, granted)
    }

    @Test
    fun `a refund returns the quota of a request that did not run`() {
        val charge = assertIs<QuotaCharge.Granted>(limiter.charge(ACCOUNT, 80.0, 0))
        assertEquals(QuotaCharge.Exhausted, limiter.charge(ACCOUNT, 10.0, 0))
        limiter.refund(charge, 0)
        assertIs<QuotaCharge.Granted>(limiter.charge(ACCOUNT, 80.0, 0))
    }

    private companion object {
        val ACCOUNT = ServedAccount(AccountId("a"), setOf("k"), null, QuotaUnit.REQUESTS, 1, 10.0, 0.0)
    }
}
