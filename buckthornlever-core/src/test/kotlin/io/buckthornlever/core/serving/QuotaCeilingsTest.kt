package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.RecordedCeilings
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

class QuotaCeilingsTest {
    private val account = AccountId("a")
    private val window = Duration.ofSeconds(8)
    private var usage = emptyMap<AccountId, Double>()

    @Test
    fun `nothing is granted before a ceiling of this process is recorded`() {
        val ceilings = QuotaCeilings(window, 0)
        assertNull(next(ceilings, 0))
        ceilings.onRead(RecordedCeilings(0.0))
        val claim = assertNotNull(next(ceilings, 0))
        ceilings.onWriteStarted(claim)
        assertEquals(0.0, ceilings.grantable(account, 0))
        ceilings.onWritten(claim)
        assertEquals(0.5, ceilings.grantable(account, 0))
    }

    @Test
    fun `a restarted process grants only what lies above the ceiling of its predecessors`() {
        val ceilings = restartedAfter(0.5)
        assertEquals(0.25, ceilings.grantable(account, seconds(1)))
        assertEquals(0.5, ceilings.grantableWhenRaised(account, seconds(1)))
        assertEquals(0.75, ceilings.grantable(account, seconds(9)))
    }

    @Test
    fun `any number of restarts within a window grants no more than the whole share`() {
        var stored = RecordedCeilings(0.0)
        var granted = 0.0
        repeat(5) {
            val ceilings = QuotaCeilings(window, seconds(it.toLong()))
            ceilings.onRead(stored)
            stored = assertNotNull(next(ceilings, seconds(it.toLong())) ?: stored)
            ceilings.onWritten(stored)
            granted += ceilings.grantable(account, seconds(it.toLong()))
        }
        assertEquals(1.0, granted, 1e-9)
    }

    @Test
    fun `a write of the predecessor that arrives late counts as granted before`() {
        val ceilings = QuotaCeilings(window, 0)
        ceilings.onRead(RecordedCeilings(0.5))
        val rejected = assertNotNull(next(ceilings, 0))
        ceilings.onWriteStarted(rejected)
        ceilings.onRejected()
        ceilings.onRead(RecordedCeilings(0.5, mapOf(account to 0.9)))
        ceilings.onWritten(assertNotNull(next(ceilings, 0)))
        assertEquals(0.1, ceilings.grantable(account, 0), 1e-9)
    }

    @Test
    fun `a ceiling is lowered once the usage of two windows stayed below it`() {
        val ceilings = restartedAfter(0.9)
        usage = mapOf(account to 0.4)
        assertNull(next(ceilings, seconds(16)))
        assertEquals(RecordedCeilings(0.5), next(ceilings, seconds(17)))
    }

    @Test
    fun `the default ceiling stays in force for an account that uses more than the initial one`() {
        val ceilings = restartedAfter(0.5)
        usage = mapOf(account to 0.7)
        assertEquals(RecordedCeilings(0.5, mapOf(account to 0.75)), next(ceilings, seconds(17)))
    }

    @Test
    fun `the ceiling of an account that needs it is kept`() {
        val ceilings = restartedAfter(0.5)
        ceilings.raise(account, 0.6, seconds(9))
        ceilings.onWritten(assertNotNull(next(ceilings, seconds(9))))
        usage = mapOf(account to 0.6)
        assertEquals(RecordedCeilings(0.5, mapOf(account to 1.0)), next(ceilings, seconds(30)))
    }

    @Test
    fun `the lower ceiling is in force until a write without a known result has been settled`() {
        val ceilings = restartedAfter(0.9)
        val lowered = assertNotNull(next(ceilings, seconds(20)))
        ceilings.onWriteStarted(lowered)
        ceilings.onRead(RecordedCeilings(1.0))
        assertEquals(0.5, ceilings.grantable(account, seconds(21)))
        assertEquals(lowered, next(ceilings, seconds(21)))
        ceilings.onRead(lowered)
        assertEquals(0.5, ceilings.grantable(account, seconds(22)))
        assertNull(next(ceilings, seconds(22)))
    }

    private fun restartedAfter(ceiling: Double): QuotaCeilings =
        QuotaCeilings(window, 0).apply {
            onRead(RecordedCeilings(ceiling))
            onWritten(assertNotNull(next(this, 0)))
        }

    private fun next(
        ceilings: QuotaCeilings,
        nanos: Long,
    ): RecordedCeilings? = ceilings.next(nanos) { usage }

    private fun seconds(count: Long): Long = Duration.ofSeconds(count).toNanos()
}
