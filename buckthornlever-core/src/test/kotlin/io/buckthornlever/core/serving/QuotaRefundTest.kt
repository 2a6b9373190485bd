package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.AccountHolding
import io.buckthornlever.api.serving.QuotaHoldings
import io.buckthornlever.api.serving.QuotaShare
import io.buckthornlever.api.serving.QuotaUnit
import io.buckthornlever.api.serving.ServedAccount
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class QuotaRefundTest {
    private val quotas =
        LocalQuotaLimiter("i", QuotaBounds(Duration.ofSeconds(8), 0.0, 0.0), 0, true).apply {
            update(QuotaHoldings(mapOf(ACCOUNT.id to AccountHolding(1.0, listOf(QuotaShare("i"))))), 0)
            onConfirmed(0)
        }

    @Test
    fun `a charge that is taken back late grants nothing beyond the quota afterwards`() {
        val charge = assertIs<QuotaCharge.Granted>(quotas.charge(ACCOUNT, 80.0, 0))
        quotas.refund(charge, Duration.ofSeconds(7).toNanos())
        val later = Duration.ofSeconds(9).toNanos()
        var granted = 0.0
        while (quotas.charge(ACCOUNT, 10.0, later) is QuotaCharge.Granted) granted += 10.0
        assertEquals(80.0, granted)
    }

    @Test
    fun `a refund frees the quota of a request that did not run`() {
        val charge = assertIs<QuotaCharge.Granted>(quotas.charge(ACCOUNT, 80.0, 0))
        assertEquals(QuotaCharge.Exhausted, quotas.charge(ACCOUNT, 10.0, 0))
        quotas.refund(charge, 0)
        assertIs<QuotaCharge.Granted>(quotas.charge(ACCOUNT, 80.0, 0))
    }

    private companion object {
        val ACCOUNT = ServedAccount(AccountId("a"), setOf("k"), null, QuotaUnit.REQUESTS, 1, 10.0, 0.0)
    }
}
