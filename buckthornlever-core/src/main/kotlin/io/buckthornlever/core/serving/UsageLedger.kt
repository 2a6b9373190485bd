package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.UsageWindow

/** Counts the requests that started to run, by accounting window and client account, over all instances. Not thread-safe. */
public class UsageLedger(
    private val windowMillis: Long,
) {
    private val ownCounts = HashMap<Long, HashMap<AccountId, Long>>()
    private val peerCounts = HashMap<Pair<String, Long>, HashMap<Long, Map<AccountId, Long>>>()

    /** Index of the window that contains [wallMillis]. */
    public fun windowIndex(wallMillis: Long): Long = Math.floorDiv(wallMillis, windowMillis)

    /** Counts a request of [account] that started to run at [wallMillis]. */
    public fun onStarted(
        account: AccountId,
        wallMillis: Long,
    ) {
        ownCounts.getOrPut(windowIndex(wallMillis)) { HashMap() }.merge(account, 1L, Long::plus)
    }

    /** Counts of this instance for the newest windows, to be sent to the peers before these windows are reported. */
    public fun recentWindows(): Map<Long, Map<AccountId, Long>> {
        val newest = ownCounts.keys.maxOrNull() ?: return emptyMap()
        return ownCounts.filterKeys { it > newest - SHARED_WINDOWS }
    }

    /** Replaces the counts of [peer] in its [incarnation] for the given [windows]. */
    public fun updatePeer(
        peer: String,
        incarnation: Long,
        windows: Map<Long, Map<AccountId, Long>>,
    ) {
        peerCounts.getOrPut(peer to incarnation) { HashMap() }.putAll(windows)
    }

    /** Sum of the known counts of all instances for the window [index]. */
    public fun total(index: Long): UsageWindow {
        val sum = HashMap<AccountId, Long>()
        ownCounts[index]?.forEach { (account, count) -> sum.merge(account, count, Long::plus) }
        peerCounts.values.forEach { windows -> windows[index]?.forEach { (account, count) -> sum.merge(account, count, Long::plus) } }
        return UsageWindow(index, sum)
    }

    /** Drops the windows before [index]. */
    public fun forgetBefore(index: Long) {
        ownCounts.keys.removeIf { it < index }
        peerCounts.values.forEach { windows -> windows.keys.removeIf { it < index } }
        peerCounts.values.removeIf { it.isEmpty() }
    }

    private companion object {
        /** The current window and the ones that a new holder of the duty lease may still have to report. */
        const val SHARED_WINDOWS = 4
    }
}
