package io.buckthornlever.core.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against defaults that ordinary callers of the smallest machine reach, and against limits beyond what the process has. */
class ProcessResourcesTest {
    private val smallest = ProcessResources(HEAP, 282 * MB, 2_069)

    @Test
    fun `a few hundred requests with bodies of 72 KB fit into the smallest machine`() {
        assertTrue(smallest.callerBytes * 6 / 10 > 300 * (72 * 1_024L + 16 * 1_024L))
        assertTrue(smallest.callerConnections >= 600)
    }

    @Test
    fun `connections of all kinds together stay below the limit of descriptors`() {
        for (descriptors in listOf(500, 1_024, 2_069, 4_100, 8_192, 65_536)) {
            val resources = ProcessResources(HEAP, 682 * MB, descriptors)
            val sockets =
                resources.callerConnections + resources.outboundConnections + resources.relayConnections + resources.probeConnections
            assertTrue(sockets <= descriptors - 200, "$descriptors: $sockets")
        }
    }

    @Test
    fun `each request that is being served can have its connection to an upstream`() {
        assertTrue(smallest.callerConnections <= smallest.outboundConnections)
    }

    @Test
    fun `a machine with little memory lowers the share of callers`() {
        assertEquals(60 * MB / 6, ProcessResources(HEAP, 60 * MB).callerBytes)
        assertEquals(HEAP * 3 / 8, ProcessResources(HEAP).callerBytes)
    }

    @Test
    fun `the operator may set both, but never more than the process can hold`() {
        assertEquals(20 * MB, smallest.copy(callerBytesOverride = 20 * MB).callerBytes)
        assertEquals(HEAP / 2, smallest.copy(callerBytesOverride = 900 * MB).callerBytes)
        assertEquals(100, smallest.copy(callerConnectionsOverride = 100).callerConnections)
        assertEquals(smallest.outboundConnections, smallest.copy(callerConnectionsOverride = 60_000).callerConnections)
    }

    private companion object {
        const val MB = 1_024L * 1_024
        const val HEAP = 128 * MB
    }
}
