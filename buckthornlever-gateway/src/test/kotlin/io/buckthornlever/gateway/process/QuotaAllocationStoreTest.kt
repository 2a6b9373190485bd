package io.buckthornlever.gateway.process

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.serving.InstanceRecord
import io.buckthornlever.api.serving.QuotaHoldings
import io.buckthornlever.api.serving.QuotaUnit
import io.buckthornlever.api.serving.ServedAccount
import io.buckthornlever.api.serving.StateKind
import io.buckthornlever.api.serving.StateValue
import io.buckthornlever.api.serving.StoreRevision
import io.buckthornlever.core.process.ManualClock
import io.buckthornlever.core.serving.LocalQuotaLimiter
import io.buckthornlever.core.serving.QuotaBounds
import io.buckthornlever.core.serving.QuotaCeilings
import io.buckthornlever.core.serving.TableAgeLimits
import io.buckthornlever.gateway.connection.ServerAddress
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

class QuotaAllocationStoreTest {
    private val clock = ManualClock()
    private val store = InMemoryStore()
    private val bounds = QuotaBounds()
    private val limiter = LocalQuotaLimiter("i", bounds, clock.monotonicNanos(), QuotaCeilings(bounds.window, clock.monotonicNanos()))
    private val allocations = QuotaAllocationStore(settings(), record("i"), store, clock, limiter, EventLog("i"))

    // Guards against a quota that is granted twice in a window, by the holders of a lost allocation and by those of a new one.
    @Test
    fun `an account whose allocation a restored store has lost keeps its holders`() {
        allocations.read {}
        allocate(listOf(account("a")), emptySet())
        store.backUp()
        allocate(listOf(account("a"), account("b")), emptySet())
        val before = assertNotNull(stored())
        assertEquals(setOf(AccountId("a"), AccountId("b")), before.accounts.keys)
        store.restore()
        val restored = assertNotNull(stored())
        assertEquals(setOf(AccountId("a")), restored.accounts.keys)
        allocations.update(store.revisionOf(StateKind.QUOTA_HOLDINGS, "site"), restored)
        assertEquals(before, limiter.holdings)
        allocate(listOf(account("a"), account("b")), setOf(record("j")))
        assertEquals(before, stored())
    }

    // Guards against shares that are kept although an allocation of another release may have given them to other holders.
    @Test
    fun `an allocation that cannot be read after a restore leaves no shares`() {
        allocations.read {}
        allocate(listOf(account("a")), emptySet())
        allocations.onUnreadable(StoreRevision.of(1, 1))
        assertEquals(QuotaHoldings(emptyMap()), limiter.holdings)
    }

    private fun allocate(
        accounts: List<ServedAccount>,
        others: Set<InstanceRecord>,
    ) {
        clock.advance(Duration.ofSeconds(1))
        allocations.allocate(accounts, others)
    }

    private fun stored(): QuotaHoldings? = (store.valueOf(StateKind.QUOTA_HOLDINGS, "site") as? StateValue.Quota)?.holdings

    private fun record(name: String) = InstanceRecord(name, "h", 1, FailureDomain("a"))

    private fun account(name: String) = ServedAccount(AccountId(name), emptySet(), null, QuotaUnit.REQUESTS, 1, 10.0, 0.0)

    private fun settings(): GatewaySettings {
        val loopback = ServerAddress("127.0.0.1", 0)
        return GatewaySettings(
            instance = "i",
            domain = FailureDomain("a"),
            domains = listOf(FailureDomain("a")),
            callerAddress = loopback,
            probeAddress = loopback,
            peerAddress = loopback,
            linkMegabits = 0.0,
            tableAgeLimits = TableAgeLimits.of(Duration.ofSeconds(2), Duration.ofSeconds(5)),
            quota = bounds,
            retryRatio = 0.2,
            retryWindow = Duration.ofSeconds(10),
            retrySlack = 50.0,
            unprovedVersionPercent = 8,
            leaseTtl = Duration.ofSeconds(3),
            usageWindow = null,
            firstStart = false,
            grace = Duration.ofSeconds(8),
        )
    }
}
