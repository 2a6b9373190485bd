package io.buckthornlever.core.serving

/**
 * Queue of requests that wait for capacity at the upstreams of one service, ordered by priority, then by whether the account uses
 * more than its share, and then by deadline. Not thread-safe.
 */
public class WaitQueue<T : Any> {
    private val entries = ArrayList<Entry<T>>()

    /** Number of waiting requests. */
    public val size: Int get() = entries.size

    /** Adds [request]; a lower [priority] value is served first, and requests of accounts [beyond their share][isBeyondShare] last. */
    public fun add(
        request: T,
        priority: RequestPriority,
        deadlineNanos: Long,
        isBeyondShare: Boolean = false,
    ) {
        val entry = Entry(request, priority, isBeyondShare, deadlineNanos)
        val found = entries.binarySearch(entry, ORDER)
        entries.add(if (found < 0) -found - 1 else found + 1, entry)
    }

    /** Removes [request] and returns true if it was waiting. */
    public fun remove(request: T): Boolean = entries.removeIf { it.request === request }

    /**
     * Offers capacity to the waiting requests in order, until none is left or no upstream has capacity. A new request is added before
     * it is served, so that it does not pass those that wait ahead of it. [tryServe] may add and remove requests; one that it adds is
     * not offered capacity in this call.
     */
    public fun drain(tryServe: (T) -> QueueStep) {
        for (entry in entries.toList()) if (tryServe(entry.request) == QueueStep.SATURATED) return
    }

    private class Entry<T>(
        val request: T,
        val priority: RequestPriority,
        val isBeyondShare: Boolean,
        val deadlineNanos: Long,
    )

    private companion object {
        val ORDER: Comparator<Entry<*>> = compareBy<Entry<*>> { it.priority }.thenBy { it.isBeyondShare }.thenBy { it.deadlineNanos }
    }
}
