package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.UsageWindow

/** Requests that began to run, by window and client account, over all instances. Not thread-safe. */
public class UsageLedger(
    private val windowMillis: Long,
) {
    private val own = HashMap<Long, HashMap<AccountId, Long>>()
    private val peers = HashMap<Pair<String, Long>, HashMap<Long, Map<AccountId, Long>>>()

    /** Number of the window that contains [wallMillis]. */
    public fun windowIndex(wallMillis: Long): Long = Math.floorDiv(wallMillis, windowMillis)

    /** Counts a request of [account] that began to run at [wallMillis]. */
    public fun onStarted(
        account: AccountId,
        wallMillis: Long,
    ) {
        own.getOrPut(windowIndex(wallMillis)) { HashMap() }.merge(account, 1L, Long::plus)
    }

    /** Counts of this instance for the newest windows, which peers have to hear of before they are reported. */
    public fun recentWindows(): Map<Long, Map<AccountId, Long>> {
        val newest = own.keys.maxOrNull() ?: return emptyMap()
        return own.filterKeys { it > newest - TOLD_WINDOWS }
    }

    /** Takes the counts that [peer] in its [incarnation] has made for some windows; newer counts replace older ones. */
    public fun updatePeer(
        peer: String,
        incarnation: Long,
        windows: Map<Long, Map<AccountId, Long>>,
    ) {
        peers.getOrPut(peer to incarnation) { HashMap() }.putAll(windows)
    }

    /** Sum of all known counts of window [index]. */
    public fun total(index: Long): UsageWindow {
        val sum = HashMap<AccountId, Long>()
        own[index]?.forEach { (account, count) -> sum.merge(account, count, Long::plus) }
        peers.values.forEach { windows -> windows[index]?.forEach { (account, count) -> sum.merge(account, count, Long::plus) } }
        return UsageWindow(index, sum)
    }

    /** Forgets the windows before [index]. */
    public fun forgetBefore(index: Long) {
        own.keys.removeIf { it < index }
        peers.values.forEach { windows -> windows.keys.removeIf { it < index } }
        peers.values.removeIf { it.isEmpty() }
    }

    private companion object {
        /** The current window and those that a new holder of the lease may still have to report. */
        const val TOLD_WINDOWS = 4
    }
}
