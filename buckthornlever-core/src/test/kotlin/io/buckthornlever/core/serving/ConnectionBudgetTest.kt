package io.buckthornlever.core.serving

import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

/** Guards against closing a connection that is in use, or one that has had no time to be used. */
class ConnectionBudgetTest {
    private val connections = ConnectionBudget(10)
    private val memory = CallerMemoryBudget(1_000_000)

    @Test
    fun `the connection that has been idle for longest makes place`() {
        val holders = listOf(holder(HolderPhase.SERVING, 0), holder(HolderPhase.IDLE, 200), holder(HolderPhase.IDLE, 100))
        assertEquals(holders[2], connections.longestWithoutRequest(holders, millis(1_000)))
    }

    @Test
    fun `an incomplete request makes place only when no connection is idle`() {
        val reading = holder(HolderPhase.READING, 0)
        val idle = holder(HolderPhase.IDLE, 1_500)
        assertEquals(idle, connections.longestWithoutRequest(listOf(reading, idle), millis(2_000)))
        assertEquals(reading, connections.longestWithoutRequest(listOf(reading), millis(2_000)))
    }

    @Test
    fun `a connection that has just come stays`() {
        assertNull(connections.longestWithoutRequest(listOf(holder(HolderPhase.IDLE, 900)), millis(1_000)))
        assertNull(connections.longestWithoutRequest(listOf(holder(HolderPhase.READING, 100)), millis(1_000)))
    }

    @Test
    fun `requests that are being served or answered stay`() {
        val holders = listOf(holder(HolderPhase.SERVING, 0), holder(HolderPhase.WRITING, 0))
        assertNull(connections.longestWithoutRequest(holders, millis(100_000)))
    }

    private fun holder(
        phase: HolderPhase,
        sinceMillis: Long,
    ): MemoryHolder {
        val holder = MemoryHolder()
        memory.add(holder, millis(sinceMillis))
        memory.update(holder, 1, phase, millis(sinceMillis))
        return holder
    }

    private fun millis(value: Long): Long = Duration.ofMillis(value).toNanos()
}
