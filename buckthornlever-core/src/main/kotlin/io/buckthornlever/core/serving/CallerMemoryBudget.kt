package io.buckthornlever.core.serving

import java.time.Duration
import java.util.TreeSet

/**
 * Divides the memory that callers may make the process hold among their connections. Not thread-safe.
 *
 * It is made for crowds that send very many header lines, large bodies that stop short of their end, or that do not read responses.
 * Bytes count as they are held. Below [pauseBytes] everyone may read. From there on the rest of a body needs a grant: short rests first,
 * and each grant leaves as much as it takes, so that small requests still get through beside large ones. Whoever gets none waits, and is
 * refused when that takes too long. While someone waits, connections whose other end makes no progress are closed, the largest first.
 *
 * @param limitBytes bytes that may be held at most
 */
public class CallerMemoryBudget(
    public val limitBytes: Long,
) {
    private val holders = LinkedHashSet<MemoryHolder>()
    private val waiting = TreeSet(compareBy<MemoryHolder> { it.neededBytes }.thenBy { it.sequence })
    private var grantedBytes = 0L
    private var nextSequence = 0L

    /** Bytes held now. */
    public var heldBytes: Long = 0
        private set

    /** Number of connections that wait until they may read on. */
    public val waitingCount: Int get() = waiting.size

    /** Held bytes from which on the rest of a body needs a grant. */
    public val pauseBytes: Long = (limitBytes * PAUSE_SHARE).toLong()

    /** Held bytes that requests which are still being read stay below. */
    private val refuseBytes = (limitBytes * REFUSE_SHARE).toLong()

    /** Bytes that large rests leave to small requests. */
    private val smallReserve = limitBytes / SMALL_RESERVE_DIVISOR

    private val freeBytes: Long get() = refuseBytes - heldBytes - grantedBytes

    /** True while memory is short, so that [relief] has to be asked now and then. */
    public val isShort: Boolean get() = heldBytes + grantedBytes >= pauseBytes || waiting.isNotEmpty()

    /** True while more is held than allowed, so that [relief] has to be asked at once. */
    public val isExceeded: Boolean get() = heldBytes > limitBytes

    /** Adds the connection [holder], which is idle. */
    public fun add(
        holder: MemoryHolder,
        nanos: Long,
    ) {
        holders.add(holder)
        holder.sequence = nextSequence++
        holder.phase = HolderPhase.IDLE
        holder.progressNanos = nanos
    }

    /** Removes [holder], whose connection is closed. */
    public fun remove(holder: MemoryHolder) {
        if (!holders.remove(holder)) return
        release(holder)
        heldBytes -= holder.bytes
        holder.bytes = 0
        holder.phase = HolderPhase.CLOSED
    }

    /** Records that [holder] holds [bytes] in [phase]. */
    public fun update(
        holder: MemoryHolder,
        bytes: Long,
        phase: HolderPhase,
        nanos: Long,
    ) {
        if (holder.phase == HolderPhase.CLOSED) return
        val growth = bytes - holder.bytes
        holder.bytes = bytes
        heldBytes += growth
        if (growth > 0 && holder.grantedBytes > 0) useGrant(holder, growth)
        if (phase == holder.phase) return
        if (holder.phase == HolderPhase.READING) release(holder)
        holder.phase = phase
        markProgress(holder, nanos)
    }

    /** Records that [count] bytes have been received from the other end of [holder], or sent to it. */
    public fun onMoved(
        holder: MemoryHolder,
        count: Long,
        nanos: Long,
    ) {
        holder.movedBytes += count
        if (holder.movedBytes >= maxOf(MIN_PROGRESS_BYTES, holder.bytes / PROGRESS_DIVISOR)) markProgress(holder, nanos)
    }

    /** True if a request whose head makes the process hold [headBytes], which are counted already, may be read on and served. */
    public fun admitsHead(headBytes: Long): Boolean = headBytes * HEAD_RESERVE_FACTOR <= refuseBytes - heldBytes

    /** True if there is room for [bytes] more that are held until another instance has read them. */
    public fun hasRoomFor(bytes: Long): Boolean = heldBytes + grantedBytes + bytes <= pauseBytes

    /** True if the rest of the request of [holder], which will hold [rest] bytes more, may be read; else [holder] waits from now on. */
    public fun mayRead(
        holder: MemoryHolder,
        rest: Long,
        nanos: Long,
    ): Boolean {
        if (!isShort || rest <= holder.grantedBytes) return true
        if (holder.isWaiting) return false
        release(holder)
        val first = waiting.firstOrNull()
        if ((first == null || rest < first.neededBytes) && fits(rest)) {
            grant(holder, rest)
            return true
        }
        holder.neededBytes = maxOf(1, rest)
        holder.waitingSinceNanos = nanos
        waiting.add(holder)
        return false
    }

    /** Connections that waited and may be read from again. */
    public fun resumed(nanos: Long): List<MemoryHolder> {
        if (waiting.isEmpty()) return emptyList()
        val resumed = ArrayList<MemoryHolder>()
        while (true) {
            val next = waiting.firstOrNull() ?: break
            if (!fits(next.neededBytes)) break
            val needed = next.neededBytes
            stopWaiting(next)
            grant(next, needed)
            markProgress(next, nanos)
            resumed.add(next)
        }
        return resumed
    }

    /** Connections that have to be closed now, in this order. Their memory counts as free already. */
    public fun relief(nanos: Long): List<MemoryRelief> {
        val reliefs = ArrayList<MemoryRelief>()
        waiting
            .filter { nanos - it.waitingSinceNanos >= MAX_WAIT.toNanos() }
            .forEach { reliefs.add(take(it, CallerRefusal.BODY_WAITED_TOO_LONG)) }
        if (isShort) {
            val stalled = holders.filter { it.isStalled(nanos, STALL.toNanos()) }.sortedByDescending { it.bytes }
            for (holder in stalled) {
                if (!needsStalled()) break
                reliefs.add(take(holder, CallerRefusal.STALLED))
            }
        }
        if (isExceeded) {
            val largest = holders.sortedWith(compareBy<MemoryHolder> { it.phase == HolderPhase.SERVING }.thenByDescending { it.bytes })
            for (holder in largest) {
                if (!isExceeded) break
                reliefs.add(take(holder, CallerRefusal.OVER_BUDGET))
            }
        }
        return reliefs
    }

    /** The largest connections, whose closing frees half of what is held; for a heap that is exhausted all the same. */
    public fun emergencyRelief(): List<MemoryRelief> {
        val target = heldBytes / 2
        val reliefs = ArrayList<MemoryRelief>()
        for (holder in holders.sortedByDescending { it.bytes }) {
            if (heldBytes <= target) break
            reliefs.add(take(holder, CallerRefusal.OUT_OF_MEMORY))
        }
        return reliefs
    }

    private fun needsStalled(): Boolean {
        val next = waiting.firstOrNull()
        return if (next == null) heldBytes + grantedBytes >= pauseBytes else !fits(next.neededBytes)
    }

    private fun fits(rest: Long): Boolean {
        val left = freeBytes - rest
        if (rest <= SMALL_BYTES) return left >= rest
        // One alone may take more than it leaves, so that a request within the limits is read while nothing else presses.
        return left >= smallReserve && (grantedBytes == 0L || left >= rest)
    }

    private fun grant(
        holder: MemoryHolder,
        bytes: Long,
    ) {
        holder.grantedBytes = bytes
        grantedBytes += bytes
    }

    private fun useGrant(
        holder: MemoryHolder,
        growth: Long,
    ) {
        val used = minOf(growth, holder.grantedBytes)
        holder.grantedBytes -= used
        grantedBytes -= used
    }

    private fun release(holder: MemoryHolder) {
        grantedBytes -= holder.grantedBytes
        holder.grantedBytes = 0
        stopWaiting(holder)
    }

    private fun stopWaiting(holder: MemoryHolder) {
        if (!holder.isWaiting) return
        waiting.remove(holder)
        holder.neededBytes = 0
    }

    private fun take(
        holder: MemoryHolder,
        reason: CallerRefusal,
    ): MemoryRelief {
        remove(holder)
        return MemoryRelief(holder, reason)
    }

    private fun markProgress(
        holder: MemoryHolder,
        nanos: Long,
    ) {
        holder.progressNanos = nanos
        holder.movedBytes = 0
    }

    public companion object {
        /** Leaves room for some of the largest bodies to be completed one after another. */
        private const val PAUSE_SHARE = 0.6

        /** The rest is for responses, and for what arrives together with the end of a request. */
        private const val REFUSE_SHARE = 0.9
        private const val SMALL_RESERVE_DIVISOR = 16

        /** Above the bodies of ordinary requests, which have 12 to 72 KB. */
        private const val SMALL_BYTES = 128 * 1_024L

        /** A head leaves this many times its own size for others. */
        private const val HEAD_RESERVE_FACTOR = 4

        /** Moved bytes that count as progress, so that single bytes now and then do not. */
        private const val MIN_PROGRESS_BYTES = 1_024L

        /** Part of the held bytes that has to move within [STALL] while memory is short. */
        private const val PROGRESS_DIVISOR = 16

        /** Longer than the pauses of a caller that sends steadily over a slow link. */
        private val STALL: Duration = Duration.ofSeconds(1)

        /** Callers of large bodies have time limits of several seconds; a later refusal leaves too little for another try. */
        private val MAX_WAIT: Duration = Duration.ofSeconds(2)
    }
}
