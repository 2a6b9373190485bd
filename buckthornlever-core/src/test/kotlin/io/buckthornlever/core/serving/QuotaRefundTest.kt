package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.QuotaUnit
import io.buckthornlever.api.serving.ServedAccount
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class QuotaRefundTest {
    @Test
    fun `a charge that is taken back late grants nothing beyond the quota afterwards`() {
        val quotas = AccountQuotas(QuotaBounds(Duration.ofSeconds(8), 0.0, 0.0))
        assertTrue(quotas.admit(ACCOUNT, 80.0, 0))
        quotas.refund(ACCOUNT.id, 80.0, 0, Duration.ofSeconds(7).toNanos())
        val later = Duration.ofSeconds(9).toNanos()
        var granted = 0.0
        while (quotas.admit(ACCOUNT, 10.0, later)) granted += 10.0
        assertEquals(80.0, granted)
    }

    private companion object {
        val ACCOUNT = ServedAccount(AccountId("a"), setOf("k"), null, QuotaUnit.REQUESTS, 1, 10.0, 0.0)
    }
}
