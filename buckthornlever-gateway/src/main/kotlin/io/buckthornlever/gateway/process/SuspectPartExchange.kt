package io.buckthornlever.gateway.process

import io.buckthornlever.api.process.Clock
import io.buckthornlever.core.serving.PoisonPartTracker
import java.time.Duration

/**
 * Spreads the evidence on prompt parts that may crash upstreams: each instance sends what it has observed to the holder of the duty
 * lease, and the holder sends the merged evidence to all. Without a known holder an instance sends it to all by itself.
 */
internal class SuspectPartExchange(
    private val self: String,
    private val clock: Clock,
    private val tracker: PoisonPartTracker,
    private val peers: PeerExchange,
    private val holdsDutyLease: () -> Boolean,
    private val log: EventLog,
) {
    private var sentRevision = 0L
    private var sentTo: String? = null
    private var sentAllAt = Long.MIN_VALUE / 2
    private var loggedBlocked = emptySet<Set<Long>>()

    /** Sends what has changed since the last call. */
    fun tick() {
        tracker.expire(clock.now().toEpochMilli())
        if (holdsDutyLease()) sendMerged() else sendObserved()
        sentRevision = tracker.revision
        logChanges()
    }

    fun onMessage(message: PeerMessage.SuspectParts): Unit = tracker.merge(message.evidence, clock.now().toEpochMilli())

    private fun sendMerged() {
        val now = clock.monotonicNanos()
        // Instances that have just started and those that missed a datagram get everything now and then.
        val isRefreshDue = now - sentAllAt >= REFRESH_INTERVAL.toNanos()
        val evidence = tracker.evidence(if (isRefreshDue || sentTo != self) 0 else sentRevision)
        if (isRefreshDue) sentAllAt = now
        sentTo = self
        if (evidence.isNotEmpty()) peers.broadcast(PeerMessage.SuspectParts(self, evidence))
    }

    private fun sendObserved() {
        val holder = peers.leaseHolder()
        val evidence = tracker.observedEvidence(if (holder == sentTo) sentRevision else 0)
        sentTo = holder
        if (evidence.isEmpty()) return
        val message = PeerMessage.SuspectParts(self, evidence)
        if (holder == null) peers.broadcast(message) else peers.send(holder, message)
    }

    private fun logChanges() {
        val blocked = tracker.blocked
        if (blocked == loggedBlocked) return
        (blocked - loggedBlocked).forEach { log.write(GatewayEvent.PARTS_BLOCKED, "parts" to format(it)) }
        (loggedBlocked - blocked).forEach { log.write(GatewayEvent.PARTS_UNBLOCKED, "parts" to format(it)) }
        loggedBlocked = blocked
    }

    private fun format(parts: Set<Long>): String = parts.joinToString(",") { it.toULong().toString(HEX_RADIX) }

    private companion object {
        const val HEX_RADIX = 16
        val REFRESH_INTERVAL: Duration = Duration.ofSeconds(1)
    }
}
