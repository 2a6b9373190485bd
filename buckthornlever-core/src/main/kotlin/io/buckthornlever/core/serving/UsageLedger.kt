package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.UsageWindow

/**
 * Counts the requests that started to run, by accounting window and client account, over all instances. Customers are billed by these
 * counts, so the ledger also knows which instances may still add to a window. Not thread-safe.
 */
public class UsageLedger(
    private val windowMillis: Long,
) {
    private val ownCounts = HashMap<Long, HashMap<AccountId, Long>>()
    private val peers = HashMap<String, Peer>()

    /** Number of counts of all peers, by process, window and account. */
    private var peerCounts = 0

    /** Number of counts of peers that were ignored since these had told too many. */
    public var ignoredCount: Long = 0
        private set

    /** Index of the window that contains [wallMillis]. */
    public fun windowIndex(wallMillis: Long): Long = Math.floorDiv(wallMillis, windowMillis)

    /** Counts a request of [account] that started to run at [wallMillis]. */
    public fun onStarted(
        account: AccountId,
        wallMillis: Long,
    ) {
        ownCounts.getOrPut(windowIndex(wallMillis)) { HashMap() }.merge(account, 1L, Long::plus)
    }

    /**
     * Counts of this instance that the lease holder has to know: those of the newest windows, or of all windows after [reportedThrough],
     * the newest window that has been reported together with all earlier ones.
     */
    public fun unreportedWindows(reportedThrough: Long?): Map<Long, Map<AccountId, Long>> {
        val newest = ownCounts.keys.maxOrNull() ?: return emptyMap()
        val first = if (reportedThrough == null) newest - SHARED_WINDOWS else maxOf(reportedThrough, newest - RETAINED_WINDOWS)
        return ownCounts.filterKeys { it > minOf(first, newest - 1) }
    }

    /** The first window to which this instance may still add requests at [wallMillis]; the counts of all earlier ones are final. */
    public fun firstOpenWindow(wallMillis: Long): Long = windowIndex(wallMillis - COUNTING_MILLIS)

    /**
     * Records the counts of [peer] in its [incarnation] for the given [windows]. Counts only rise, so an older message or a copy of it
     * changes nothing.
     *
     * @param firstOpenWindow the counts of all earlier windows are final; null if the peer has not said so
     */
    public fun updatePeer(
        peer: String,
        incarnation: Long,
        windows: Map<Long, Map<AccountId, Long>>,
        firstOpenWindow: Long? = null,
    ) {
        val known = peers[peer] ?: newPeer(peer) ?: return
        for ((index, accounts) in windows) {
            for ((account, count) in accounts) record(known, incarnation, index, account, count)
        }
        if (firstOpenWindow == null || incarnation < known.incarnation) return
        // An earlier process of the peer has ended, so only the newest one can still add requests.
        known.firstOpenWindow = if (incarnation == known.incarnation) maxOf(known.firstOpenWindow, firstOpenWindow) else firstOpenWindow
        known.incarnation = incarnation
    }

    /** Records the counts of a process that [ended], as another instance knows them. */
    public fun onEnded(ended: EndedProcessUsage) {
        updatePeer(ended.instance, ended.incarnation, ended.windows)
        val known = peers[ended.instance] ?: return
        if (known.endedIncarnations.size < MAX_PROCESSES) known.endedIncarnations.add(ended.incarnation)
    }

    private fun newPeer(name: String): Peer? {
        if (peers.size < MAX_PEERS) return Peer().also { peers[name] = it }
        ignoredCount++
        return null
    }

    private fun record(
        peer: Peer,
        incarnation: Long,
        index: Long,
        account: AccountId,
        count: Long,
    ) {
        val known = peer.counts[incarnation]?.get(index)
        if (known == null || account !in known) {
            if (!hasRoom(peer)) {
                ignoredCount++
                return
            }
            peer.size++
            peerCounts++
        }
        val window = known ?: peer.counts.getOrPut(incarnation) { HashMap() }.getOrPut(index) { HashMap() }
        window.merge(account, count, ::maxOf)
    }

    /** False for a peer that has told more than an instance can have, or more than its part once all together have. */
    private fun hasRoom(peer: Peer): Boolean =
        peer.size < MAX_COUNTS_OF_PEER && (peerCounts < MAX_PEER_COUNTS || peer.size < MAX_PEER_COUNTS / MAX_PEERS)

    /** The [instances] that may still add requests to window [index], or have not told all of them. */
    public fun missing(
        index: Long,
        instances: Set<String>,
    ): Set<String> = instances.filterTo(HashSet()) { (peers[it]?.firstOpenWindow ?: Long.MIN_VALUE) <= index }

    /** Sum of the known counts of all instances for the window [index]. */
    public fun total(index: Long): UsageWindow {
        val sum = HashMap<AccountId, Long>()
        ownCounts[index]?.forEach { (account, count) -> sum.merge(account, count, Long::plus) }
        for (peer in peers.values) {
            for (windows in peer.counts.values) windows[index]?.forEach { (account, count) -> sum.merge(account, count, Long::plus) }
        }
        return UsageWindow(index, sum)
    }

    /**
     * Counts after window [reportedThrough] of processes that have ended: of earlier processes of the peers, and of peers that are not
     * among the [live] ones. Only the lease holder and those that it has told know them.
     */
    public fun endedProcesses(
        reportedThrough: Long?,
        live: Set<String>,
    ): List<EndedProcessUsage> {
        val first = reportedThrough ?: Long.MIN_VALUE
        return peers.flatMap { (name, peer) ->
            val ended = if (name in live) peer.counts.filterKeys { it < peer.incarnation || it in peer.endedIncarnations } else peer.counts
            ended.mapNotNull { (incarnation, windows) ->
                val unreported = windows.filter { (index, counts) -> index > first && counts.isNotEmpty() }
                if (unreported.isEmpty()) null else EndedProcessUsage(name, incarnation, unreported)
            }
        }
    }

    /** Drops the windows before [index]. */
    public fun forgetBefore(index: Long) {
        ownCounts.keys.removeIf { it < index }
        for (peer in peers.values) {
            peer.counts.values.forEach { windows -> windows.keys.removeIf { it < index } }
            peer.counts.entries.removeIf { it.value.isEmpty() && it.key != peer.incarnation }
            peer.size = peer.counts.values.sumOf { windows -> windows.values.sumOf { it.size } }
        }
        peerCounts = peers.values.sumOf { it.size }
        peers.values.removeIf { peer -> peer.counts.values.all { it.isEmpty() } && peer.firstOpenWindow < index }
    }

    private class Peer {
        /** Counts by incarnation and window. */
        val counts = HashMap<Long, HashMap<Long, HashMap<AccountId, Long>>>()
        val endedIncarnations = HashSet<Long>()

        /** Number of [counts]. */
        var size = 0
        var incarnation = Long.MIN_VALUE
        var firstOpenWindow = Long.MIN_VALUE
    }

    public companion object {
        /** Past windows whose counts are kept until they are reported, so that a window can be reported late rather than never. */
        public const val RETAINED_WINDOWS: Long = 12

        /** The current window and those that a holder which does not say what it has reported may still have to report. */
        private const val SHARED_WINDOWS = 4

        /** Counts of one peer, at some 100 bytes each; 16 accounts in [RETAINED_WINDOWS] are 192 for each of its processes. */
        private const val MAX_COUNTS_OF_PEER = 16_384

        /** Counts of all peers beyond which each keeps 64 of its own; 132 instances with 16 accounts have 25,000. */
        private const val MAX_PEER_COUNTS = 131_072

        /** Instances that ran within the retained windows. */
        private const val MAX_PEERS = 2_048

        /** Processes of one instance that ended within the retained windows, a minute. */
        private const val MAX_PROCESSES = 256

        /**
         * Time from the end of a window until an instance regards its counts as final. A call is counted in the window in which it was
         * sent, but only once its response begins; calls take 43 to 150 ms, streams are counted by their first event.
         */
        private const val COUNTING_MILLIS = 700L
    }
}
