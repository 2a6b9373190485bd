package io.buckthornlever.core.process

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.request.RequestId

/**
 * Limits the number of upstreams that a poison request can crash to [MAX_LOST] over all entry instances. Requests are identified
 * by the fingerprint of their content.
 *
 * Content without known deaths may run only on the first [MAX_LOST] upstreams of an order that depends on the content alone, so
 * instances that receive it at the same time cannot reach a third upstream before they know of each other's attempts. After the
 * first death, or while a preferred upstream has been down too briefly for the cause to be known everywhere, attempts run one at
 * a time and need a grant from the owner, the first live member by rendezvous hashing.
 *
 * @property ledger deaths known to this instance
 * @property grants grants that this instance has issued as owner
 * @property downSince wall-clock time in milliseconds at which each upstream was found dead or unreachable
 */
public data class CrashGuard(
    val self: InstanceId,
    val ledger: CrashLedger = CrashLedger(),
    val grants: Map<Fingerprint, CrashGrant> = emptyMap(),
    val downSince: Map<UpstreamId, Long> = emptyMap(),
) {
    /**
     * Decides where [fingerprint] may run.
     *
     * @param order upstreams of the pool table in an order that depends on the content alone, including unreachable ones; the
     * first two belong to different failure domains, so that the loss of one domain takes only one of them
     */
    public fun admit(
        fingerprint: Fingerprint,
        order: List<UpstreamId>,
        members: Collection<InstanceId>,
        nowMillis: Long,
    ): CrashAdmission {
        val lost = ledger.lostUpstreams(fingerprint, nowMillis)
        if (lost.size >= MAX_LOST) return CrashAdmission.Refuse(lost.size)
        val preferred = order.take(MAX_LOST)
        if (preferred.isEmpty()) return CrashAdmission.NoCandidate
        if (lost.isEmpty() && preferred.none { isRecentlyDown(it, nowMillis) }) return CrashAdmission.Run(preferred)
        return CrashAdmission.AskOwner(owner(fingerprint, members))
    }

    /** Decides, as owner, whether [attempt] may run; [known] is the ledger of the instance that asks. */
    public fun grant(
        fingerprint: Fingerprint,
        attempt: RequestId,
        order: List<UpstreamId>,
        known: CrashLedger,
        nowMillis: Long,
        timeoutMillis: Long,
    ): GrantResult {
        val merged = copy(ledger = ledger.merge(known))
        val lost = merged.ledger.lostUpstreams(fingerprint, nowMillis)
        if (lost.size >= MAX_LOST) {
            return GrantResult(merged.copy(ledger = merged.ledger.renew(fingerprint, nowMillis)), CrashAdmission.Refuse(lost.size))
        }
        val held = grants[fingerprint]
        if (held != null && held.attempt != attempt && held.expiresAtMillis > nowMillis) return GrantResult(merged, CrashAdmission.Busy)
        // A preferred upstream that went down recently may be another loss whose cause has not been reported yet.
        val unexplained = order.take(MAX_LOST).filter { isRecentlyDown(it, nowMillis) && !merged.hasKnownCause(it, fingerprint, nowMillis) }
        val suspected = (lost + unexplained).distinct()
        if (suspected.size >= MAX_LOST) return GrantResult(merged, CrashAdmission.Busy)
        val target =
            order.firstOrNull { it !in suspected && !isRecentlyDown(it, nowMillis) }
                ?: return GrantResult(merged, CrashAdmission.NoCandidate)
        val granted = merged.copy(grants = grants + (fingerprint to CrashGrant(attempt, nowMillis + timeoutMillis)))
        return GrantResult(granted, CrashAdmission.Run(listOf(target)))
    }

    /** Releases the grant of [attempt]; [known] contains the death of its upstream if there was one. */
    public fun release(
        fingerprint: Fingerprint,
        attempt: RequestId,
        known: CrashLedger,
    ): CrashGuard {
        val merged = copy(ledger = ledger.merge(known))
        return if (grants[fingerprint]?.attempt == attempt) merged.copy(grants = merged.grants - fingerprint) else merged
    }

    /** Records that [upstream] died while it ran [fingerprint]. */
    public fun withDeath(
        fingerprint: Fingerprint,
        upstream: UpstreamId,
        nowMillis: Long,
    ): CrashGuard = copy(ledger = ledger.record(fingerprint, upstream, nowMillis), downSince = downSince + (upstream to nowMillis))

    /** Records that [upstream] cannot be reached, whatever the cause. */
    public fun withUnreachable(
        upstream: UpstreamId,
        nowMillis: Long,
    ): CrashGuard = copy(downSince = downSince + (upstream to nowMillis))

    /** Records that [upstream] answers again. */
    public fun withReachable(upstream: UpstreamId): CrashGuard = copy(downSince = downSince - upstream)

    /** Records that the platform or its operators announced the end of [upstream], so that no request is blamed for it. */
    public fun withAnnouncedEnd(
        upstream: UpstreamId,
        atMillis: Long,
    ): CrashGuard = copy(ledger = ledger.excuse(upstream, atMillis))

    /** Merges the ledger of a peer. */
    public fun merge(other: CrashLedger): CrashGuard = copy(ledger = ledger.merge(other))

    /** Drops expired ledger entries, grants and down times. */
    public fun expire(nowMillis: Long): CrashGuard =
        copy(
            ledger = ledger.expire(nowMillis),
            grants = grants.filterValues { it.expiresAtMillis > nowMillis },
            downSince = downSince.filterKeys { isRecentlyDown(it, nowMillis) },
        )

    /** Returns the instance that grants attempts of [fingerprint]; this one when [members] is empty. */
    public fun owner(
        fingerprint: Fingerprint,
        members: Collection<InstanceId>,
    ): InstanceId = RendezvousOrder.first(fingerprint.value, members) ?: self

    // Content that has crashed MAX_LOST upstreams is the cause of their deaths; other content that ran on them is not.
    private fun hasKnownCause(
        upstream: UpstreamId,
        fingerprint: Fingerprint,
        nowMillis: Long,
    ): Boolean =
        ledger.deaths.keys.any { other ->
            val lost = if (other == fingerprint) emptyList() else ledger.lostUpstreams(other, nowMillis)
            lost.size >= MAX_LOST && upstream in lost
        }

    private fun isRecentlyDown(
        upstream: UpstreamId,
        nowMillis: Long,
    ): Boolean = nowMillis < (downSince[upstream] ?: return false) + PROPAGATION_MILLIS

    /** Result of [grant]. */
    public data class GrantResult(
        val guard: CrashGuard,
        val admission: CrashAdmission,
    )

    public companion object {
        /** Number of upstreams that one content may crash before it is refused. */
        public const val MAX_LOST: Int = 2

        /** Time within which gossip tells every instance the cause of a death; section 1.7 of the design gives this bound. */
        public const val PROPAGATION_MILLIS: Long = 10_000
    }
}
