package io.buckthornlever.core.serving

import java.time.Duration
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against crowds that hold more than the budget, that block each other or ordinary callers, or that are refused without need. */
class CallerMemoryBudgetTest {
    private val budget = CallerMemoryBudget(LIMIT)
    private var now = 0L

    @Test
    fun `one body of any size is read while nothing else presses`() {
        val caller = reading(0)
        repeat(80) {
            assertTrue(budget.mayRead(caller, (80L - it) * MB, now))
            hold(caller, (it + 1L) * MB)
        }
        assertTrue(budget.relief(now).isEmpty())
    }

    @Test
    fun `large bodies that wait for each other are completed one after another`() {
        val callers = List(100) { reading(0) }
        val paused = HashSet<MemoryHolder>()
        val unread = callers.toMutableSet()
        var most = 0L
        while (unread.isNotEmpty()) {
            now += MILLI
            for (caller in unread.toList()) {
                if (caller in paused) continue
                budget.onMoved(caller, STEP, now)
                hold(caller, caller.bytes + STEP)
                most = maxOf(most, budget.heldBytes)
                if (caller.bytes >= 4 * MB) {
                    // It is served at once, and its body given back.
                    budget.update(caller, 0, HolderPhase.SERVING, now)
                    unread.remove(caller)
                } else if (!budget.mayRead(caller, 4 * MB - caller.bytes, now)) {
                    paused.add(caller)
                }
            }
            paused.removeAll(budget.resumed(now).toSet())
            assertEquals(emptyList(), budget.relief(now))
        }
        assertTrue(most <= LIMIT, "held $most")
    }

    @Test
    fun `bodies that stop short of their end give way to others`() {
        val stopped = List(30) { reading(2 * MB) }
        now += Duration.ofSeconds(1).toNanos()
        val next = reading(0)
        assertTrue(budget.isShort)
        val mayReadAtOnce = budget.mayRead(next, 4 * MB, now)
        val reliefs = budget.relief(now)
        assertTrue(reliefs.isNotEmpty() && reliefs.all { it.holder in stopped && it.reason == CallerRefusal.STALLED })
        assertTrue(mayReadAtOnce || budget.resumed(now) == listOf(next))
    }

    @Test
    fun `the largest stalled connections are closed first and slow small ones stay`() {
        val small = List(10) { reading(10_000) }
        val large = List(5) { reading(14 * MB) }
        now += Duration.ofSeconds(1).toNanos()
        val closed = budget.relief(now).map { it.holder }
        assertTrue(closed.isNotEmpty() && closed.all { it in large })
        assertTrue(small.none { it in closed })
        assertFalse(budget.isShort)
    }

    @Test
    fun `stalled connections are left alone while there is memory`() {
        repeat(20) { reading(MB) }
        now += Duration.ofSeconds(10).toNanos()
        assertEquals(emptyList(), budget.relief(now))
    }

    @Test
    fun `single bytes now and then are no progress`() {
        val dripping = List(40) { reading(2 * MB) }
        repeat(10) {
            now += Duration.ofMillis(100).toNanos()
            dripping.forEach { budget.onMoved(it, 10, now) }
        }
        assertTrue(budget.relief(now).any { it.reason == CallerRefusal.STALLED })
    }

    @Test
    fun `a small body is read beside large ones that wait`() {
        repeat(33) { reading(2 * MB) }
        val large = List(10) { reading(MB) }
        large.forEach { budget.mayRead(it, 4 * MB, now) }
        assertTrue(large.any { it.isWaiting })
        assertTrue(budget.mayRead(reading(0), 72_000, now))
    }

    @Test
    fun `who has waited too long is refused`() {
        repeat(90) { serving(MB) }
        val waiting = reading(0)
        assertFalse(budget.mayRead(waiting, 4 * MB, now))
        now += Duration.ofSeconds(2).toNanos()
        assertEquals(listOf(MemoryRelief(waiting, CallerRefusal.BODY_WAITED_TOO_LONG)), budget.relief(now))
        assertEquals(0, budget.waitingCount)
    }

    @Test
    fun `what is being served is closed last`() {
        val served = serving(60 * MB)
        val reading = List(30) { reading(2 * MB) }
        val closed = budget.relief(now)
        assertTrue(closed.isNotEmpty() && closed.all { it.reason == CallerRefusal.OVER_BUDGET && it.holder in reading })
        assertEquals(HolderPhase.SERVING, served.phase)
        assertFalse(budget.isExceeded)
    }

    @Test
    fun `heads leave room for others of their size`() {
        assertTrue(budget.admitsHead(MB))
        repeat(88) { serving(MB) }
        assertFalse(budget.admitsHead(MB))
        assertTrue(budget.admitsHead(10_000))
    }

    @Test
    fun `a closed connection gives back all that it held and was granted`() {
        val callers = List(50) { reading(2 * MB) }
        callers.forEach { budget.mayRead(it, MB, now) }
        callers.forEach { budget.remove(it) }
        assertEquals(0, budget.heldBytes)
        assertFalse(budget.isShort)
        budget.remove(callers.first())
        assertEquals(0, budget.heldBytes)
    }

    @Test
    fun `an exhausted heap closes the largest connections`() {
        val large = List(4) { serving(10 * MB) }
        val small = List(10) { serving(10_000) }
        val closed = budget.emergencyRelief().map { it.holder }
        assertTrue(closed.isNotEmpty() && closed.all { it in large })
        assertTrue(small.none { it in closed })
    }

    /** Random crowds never hold more than the budget and one step of each connection, and nobody waits for ever. */
    @Test
    fun `no order of events exceeds the budget`() {
        for (seed in 1L..40L) {
            val random = Random(seed)
            val budget = CallerMemoryBudget(LIMIT)
            val open = ArrayList<MemoryHolder>()
            var now = 0L
            repeat(4_000) {
                now += random.nextLong(20) * MILLI
                if (open.size < 300 && random.nextInt(3) == 0) open.add(MemoryHolder().also { budget.add(it, now) })
                val holder = open.randomOrNull(random)
                if (holder != null) act(budget, holder, random, now)
                if (holder != null && random.nextInt(20) == 0) budget.remove(holder)
                budget.resumed(now)
                budget.relief(now)
                assertTrue(budget.heldBytes in 0..LIMIT, "seed $seed: ${budget.heldBytes}")
                open.removeAll { it.phase == HolderPhase.CLOSED }
                assertEquals(open.sumOf { it.bytes }, budget.heldBytes, "seed $seed")
            }
            open.forEach { budget.remove(it) }
            assertFalse(budget.isShort, "seed $seed: grants are left over")
        }
    }

    private fun act(
        budget: CallerMemoryBudget,
        holder: MemoryHolder,
        random: Random,
        now: Long,
    ) {
        when (random.nextInt(6)) {
            0 -> budget.update(holder, random.nextLong(100_000), HolderPhase.IDLE, now)
            1 -> budget.update(holder, holder.bytes, HolderPhase.SERVING, now)
            2 -> budget.update(holder, random.nextLong(200_000), HolderPhase.WRITING, now)
            else -> if (budget.mayRead(holder, random.nextLong(4 * MB), now)) {
                budget.onMoved(holder, STEP, now)
                budget.update(holder, holder.bytes + random.nextLong(20) * STEP, HolderPhase.READING, now)
            }
        }
    }

    private fun reading(bytes: Long): MemoryHolder = holder(bytes, HolderPhase.READING)

    private fun serving(bytes: Long): MemoryHolder = holder(bytes, HolderPhase.SERVING)

    private fun holder(
        bytes: Long,
        phase: HolderPhase,
    ): MemoryHolder {
        val holder = MemoryHolder()
        budget.add(holder, now)
        budget.update(holder, bytes, phase, now)
        return holder
    }

    private fun hold(
        holder: MemoryHolder,
        bytes: Long,
    ): Unit = budget.update(holder, bytes, HolderPhase.READING, now)

    private companion object {
        const val MB = 1_000_000L
        const val LIMIT = 100 * MB
        const val STEP = 64_000L
        const val MILLI = 1_000_000L
    }
}
