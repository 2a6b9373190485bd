package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.UsageWindow

/** Requests that began to run, by window and client account, over all instances. Not thread-safe. */
public class UsageLedger(
    private val windowMillis: Long,
) {
    private val ownCounts = HashMap<Long, HashMap<AccountId, Long>>()
    private val peerCounts = HashMap<Pair<String, Long>, HashMap<Long, Map<AccountId, Long>>>()

    /** Number of the window that contains [wallMillis]. */
    public fun windowOf(wallMillis: Long): Long = Math.floorDiv(wallMillis, windowMillis)

    /** Counts a request of [account] that began to run at [wallMillis]. */
    public fun began(
        account: AccountId,
        wallMillis: Long,
    ) {
        ownCounts.getOrPut(windowOf(wallMillis)) { HashMap() }.merge(account, 1L, Long::plus)
    }

    /** Counts of this instance for the newest windows, which peers have to hear of before they are reported. */
    public fun tellableWindows(): Map<Long, Map<AccountId, Long>> {
        val newest = ownCounts.keys.maxOrNull() ?: return emptyMap()
        return ownCounts.filterKeys { it > newest - SHARED_WINDOWS }
    }

    /** Takes the counts that [peer] in its [incarnation] has made for some windows; newer counts replace older ones. */
    public fun heard(
        peer: String,
        incarnation: Long,
        windows: Map<Long, Map<AccountId, Long>>,
    ) {
        peerCounts.getOrPut(peer to incarnation) { HashMap() }.putAll(windows)
    }

    /** Sum of all known counts of window [index]. */
    public fun total(index: Long): UsageWindow {
        val sum = HashMap<AccountId, Long>()
        ownCounts[index]?.forEach { (account, count) -> sum.merge(account, count, Long::plus) }
        peerCounts.values.forEach { windows -> windows[index]?.forEach { (account, count) -> sum.merge(account, count, Long::plus) } }
        return UsageWindow(index, sum)
    }

    /** Forgets the windows before [index]. */
    public fun forgetBefore(index: Long) {
        ownCounts.keys.removeIf { it < index }
        peerCounts.values.forEach { windows -> windows.keys.removeIf { it < index } }
        peerCounts.values.removeIf { it.isEmpty() }
    }

    private companion object {
        /** The current window and those that a new holder of the lease may still have to report. */
        const val SHARED_WINDOWS = 4
    }
}
