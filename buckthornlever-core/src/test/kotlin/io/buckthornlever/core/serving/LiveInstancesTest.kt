package io.buckthornlever.core.serving

import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals

class LiveInstancesTest {
    private val instances = LiveInstances().apply { listOf("a", "b").forEach { onHeard(it, 0) } }

    @Test
    fun `without the lease an instance believes what it is told`() {
        instances.updateSilent(setOf("b"))
        assertEquals(setOf("a"), instances.live(false, seconds(100)))
    }

    @Test
    fun `the holder of the lease counts an instance as gone after a long silence`() {
        instances.live(true, 0)
        instances.onHeard("a", seconds(10))
        assertEquals(setOf("a", "b"), instances.live(true, seconds(15)))
        assertEquals(setOf("a"), instances.live(true, seconds(16)))
    }

    @Test
    fun `a new holder of the lease does not hold the time before against instances that told another one`() {
        assertEquals(setOf("a", "b"), instances.live(true, seconds(40)))
        assertEquals(emptySet(), instances.live(true, seconds(56)))
        instances.live(false, seconds(57))
        assertEquals(setOf("a", "b"), instances.live(true, seconds(70)))
    }

    @Test
    fun `an instance that is no longer listed is not there`() {
        instances.remove("a")
        assertEquals(setOf("b"), instances.live(false, 0))
    }

    private fun seconds(count: Long): Long = Duration.ofSeconds(count).toNanos()
}
