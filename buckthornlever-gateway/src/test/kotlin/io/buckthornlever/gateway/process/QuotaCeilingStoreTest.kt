package io.buckthornlever.gateway.process

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.AccountHolding
import io.buckthornlever.api.serving.QuotaHoldings
import io.buckthornlever.api.serving.QuotaShare
import io.buckthornlever.api.serving.QuotaUnit
import io.buckthornlever.api.serving.RecordedCeilings
import io.buckthornlever.api.serving.ServedAccount
import io.buckthornlever.api.serving.StateKind
import io.buckthornlever.api.serving.StateValue
import io.buckthornlever.core.process.ManualClock
import io.buckthornlever.core.serving.LocalQuotaLimiter
import io.buckthornlever.core.serving.QuotaBounds
import io.buckthornlever.core.serving.QuotaCeilings
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class QuotaCeilingStoreTest {
    private val clock = ManualClock()
    private val store = InMemoryStore()

    @Test
    fun `each process records its part before it grants and finds what the one before has recorded`() {
        val first = start(firstStart = true)
        assertEquals(RecordedCeilings(0.5), recorded())
        assertEquals(40.0, first.available())
        val second = start()
        assertEquals(RecordedCeilings(0.75), recorded())
        assertEquals(20.0, second.available())
        assertEquals(20.0, start().available())
        assertEquals(0.0, start().available())
    }

    @Test
    fun `a process that cannot read the store grants nothing until it can`() {
        store.isRefusing = true
        val process = start(firstStart = true)
        assertTrue(process.ceilingStore.isSettled)
        assertEquals(0.0, process.available())
        store.isRefusing = false
        process.ceilingStore.update()
        assertEquals(0.0, process.available())
        clock.advance(Duration.ofSeconds(1))
        process.ceilingStore.update()
        assertEquals(40.0, process.available())
    }

    @Test
    fun `a raise whose answer is lost is in force once it has been read back`() {
        val process = start(firstStart = true)
        store.losesAnswers = true
        process.ceilingStore.raise(ACCOUNT, 60.0)
        assertEquals(40.0, process.available())
        store.losesAnswers = false
        clock.advance(Duration.ofSeconds(1))
        process.ceilingStore.update()
        assertEquals(60.0, process.available())
    }

    @Test
    fun `without an object of its own an instance assumes the ceilings of the allocation once that has been read`() {
        val process = Process(firstStart = false, ceiling = 0.75)
        process.ceilingStore.start {}
        assertFalse(process.ceilingStore.isSettled)
        process.ceilingStore.onAllocationRead()
        assertEquals(20.0, process.available())
    }

    @Test
    fun `an object that cannot be read stands for any usage`() {
        store.create(StateKind.QUOTA_CEILINGS, INSTANCE, StateValue.Evacuation) {}
        val process = start()
        assertEquals(0.0, process.available())
        clock.advance(Duration.ofSeconds(9))
        process.limiter.onConfirmed(clock.monotonicNanos())
        assertEquals(80.0, process.available())
    }

    @Test
    fun `ceilings that a restored store has lost are recorded again`() {
        val process = start(firstStart = true)
        store.backUp()
        process.ceilingStore.raise(ACCOUNT, 60.0)
        val raised = recorded()
        assertEquals(60.0, process.available())
        store.restore()
        process.ceilingStore.onStoreRestored()
        assertEquals(raised, recorded())
        assertEquals(60.0, process.available())
    }

    @Test
    fun `an object with ceilings that a restored store has lost is created again`() {
        store.backUp()
        val process = start(firstStart = true)
        store.restore()
        process.ceilingStore.onStoreRestored()
        assertEquals(RecordedCeilings(0.5), recorded())
        assertEquals(40.0, process.available())
    }

    private fun start(firstStart: Boolean = false): Process =
        Process(firstStart, 0.5).apply {
            ceilingStore.start {}
            ceilingStore.onAllocationRead()
        }

    private fun recorded(): RecordedCeilings? = (store.valueOf(StateKind.QUOTA_CEILINGS, INSTANCE) as? StateValue.Ceilings)?.ceilings

    private inner class Process(
        firstStart: Boolean,
        ceiling: Double,
    ) {
        val ceilings = QuotaCeilings(BOUNDS.window, clock.monotonicNanos())
        val limiter =
            LocalQuotaLimiter(INSTANCE, BOUNDS, clock.monotonicNanos(), ceilings).apply {
                val holding = AccountHolding(ceiling, listOf(QuotaShare(INSTANCE)))
                update(QuotaHoldings(mapOf(ACCOUNT.id to holding)), clock.monotonicNanos())
                onConfirmed(clock.monotonicNanos())
            }
        val ceilingStore =
            QuotaCeilingStore(INSTANCE, firstStart, store, clock, ceilings, limiter, { ACCOUNT }, EventLog(INSTANCE))

        fun available(): Double = limiter.available(ACCOUNT, clock.monotonicNanos())
    }

    private companion object {
        const val INSTANCE = "i"
        val BOUNDS = QuotaBounds(Duration.ofSeconds(8), 0.0, 0.0)

        /** An account with 80 units per window. */
        val ACCOUNT = ServedAccount(AccountId("a"), setOf("k"), null, QuotaUnit.REQUESTS, 1, 10.0, 0.0)
    }
}
