package io.buckthornlever.gateway.process

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.serving.StateKind
import io.buckthornlever.api.serving.StateValue
import io.buckthornlever.core.process.ManualClock
import io.buckthornlever.core.serving.PoisonPartTracker
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Guards against evidence that a restart of all instances loses, and against writers that overwrite each other's evidence. */
class SuspectPartStoreTest {
    private val clock = ManualClock()
    private val store = InMemoryStore()

    @Test
    fun `crashes before and after a restart of all instances add up`() {
        val first = Process(firstStart = true)
        repeat(2) { first.crash("u$it") }
        first.tick(holdsDutyLease = true)
        val second = Process()
        assertFalse(second.tracker.blocks(PARTS))
        second.crash("u2")
        assertTrue(second.tracker.blocks(PARTS))
        second.tick(holdsDutyLease = true)
        assertTrue(Process().tracker.blocks(PARTS))
    }

    @Test
    fun `only the holder of the duty lease records`() {
        val process = Process(firstStart = true)
        process.crash("u0")
        process.tick(holdsDutyLease = false)
        assertNull(recorded())
    }

    @Test
    fun `a holder that does not know the stored evidence merges it before it writes`() {
        val first = Process(firstStart = true)
        val second = Process(firstStart = true)
        repeat(2) { first.crash("u$it") }
        first.tick(holdsDutyLease = true)
        second.crash("u2")
        repeat(3) { second.tick(holdsDutyLease = true) }
        assertTrue(Process().tracker.blocks(PARTS))
    }

    @Test
    fun `nothing is written while the crashes stay the same`() {
        val process = Process(firstStart = true)
        process.crash("u0")
        process.tick(holdsDutyLease = true)
        val revision = revision()
        repeat(3) { process.tick(holdsDutyLease = true) }
        assertEquals(revision, revision())
    }

    @Test
    fun `a write whose answer is lost is read back and not repeated`() {
        val process = Process(firstStart = true)
        process.crash("u0")
        store.losesAnswers = true
        process.tick(holdsDutyLease = true)
        val revision = revision()
        store.losesAnswers = false
        repeat(3) { process.tick(holdsDutyLease = true) }
        assertEquals(revision, revision())
    }

    @Test
    fun `a store that does not answer delays the start only until its failure and is read later`() {
        val first = Process(firstStart = true)
        repeat(3) { first.crash("u$it") }
        first.tick(holdsDutyLease = true)
        store.isRefusing = true
        val second = Process()
        assertTrue(second.partStore.isSettled)
        assertFalse(second.tracker.blocks(PARTS))
        store.isRefusing = false
        second.tick(holdsDutyLease = false)
        assertTrue(second.tracker.blocks(PARTS))
    }

    @Test
    fun `evidence that has expired is removed from the store`() {
        val process = Process(firstStart = true)
        process.crash("u0")
        process.tick(holdsDutyLease = true)
        clock.advance(Duration.ofMinutes(2))
        process.tracker.expire(clock.now().toEpochMilli())
        process.tick(holdsDutyLease = true)
        assertEquals(emptyMap(), recorded()?.evidence)
    }

    @Test
    fun `evidence that a restored store has lost is recorded again`() {
        val process = Process(firstStart = true)
        store.backUp()
        repeat(3) { process.crash("u$it") }
        process.tick(holdsDutyLease = true)
        store.restore()
        process.partStore.onStoreRestored()
        repeat(2) { process.tick(holdsDutyLease = true) }
        assertTrue(Process().tracker.blocks(PARTS))
    }

    private fun recorded(): StateValue.SuspectParts? = store.valueOf(StateKind.SUSPECT_PARTS, "site") as? StateValue.SuspectParts

    private fun revision(): Long = store.revisionOf(StateKind.SUSPECT_PARTS, "site")

    private inner class Process(
        firstStart: Boolean = false,
    ) {
        val tracker = PoisonPartTracker()
        val partStore = SuspectPartStore(store, clock, tracker, EventLog("i1"))

        init {
            partStore.start(firstStart) {}
        }

        fun crash(upstream: String) {
            clock.advance(Duration.ofMillis(300))
            tracker.onCrash(PARTS, UpstreamId(upstream), clock.now().toEpochMilli())
        }

        fun tick(holdsDutyLease: Boolean) {
            clock.advance(Duration.ofSeconds(1))
            partStore.tick(holdsDutyLease)
        }
    }

    private companion object {
        val PARTS = listOf(7L)
    }
}
