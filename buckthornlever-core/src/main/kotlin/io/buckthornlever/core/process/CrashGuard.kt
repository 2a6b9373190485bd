package io.buckthornlever.core.process

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.request.RequestId

/**
 * Limits the upstreams that one request content can cost to [MAX_LOST] over all entry instances.
 *
 * A content without known deaths may run only on the first [MAX_LOST] upstreams of an order that depends on the content
 * alone. Instances that receive it at the same time therefore cannot reach a third upstream before they know of each
 * other. After the first death, or when a preferred upstream went down too recently for its cause to be known
 * everywhere, attempts run one at a time and only with a grant of the owner, the first live member by rendezvous hashing.
 *
 * @property ledger deaths known to this instance
 * @property grants attempts that this instance has granted as owner
 * @property downSince time at which each upstream was found dead, in milliseconds of wall-clock time
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
     * @param order upstreams of the pool table in an order that depends on the content alone, unreachable ones included;
     * the first two belong to different failure domains, so that the loss of a domain takes only one of them
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
        if (lost.isEmpty() && preferred.none { recentlyDown(it, nowMillis) }) return CrashAdmission.Run(preferred)
        return CrashAdmission.AskOwner(owner(fingerprint, members))
    }

    /** Answers, as owner, a request for the only attempt; [known] are the asking instance's entries. */
    public fun grant(
        fingerprint: Fingerprint,
        attempt: RequestId,
        order: List<UpstreamId>,
        known: CrashLedger,
        nowMillis: Long,
        timeoutMillis: Long,
    ): Step {
        val merged = copy(ledger = ledger.merge(known))
        val lost = merged.ledger.lostUpstreams(fingerprint, nowMillis)
        if (lost.size >= MAX_LOST) {
            return Step(merged.copy(ledger = merged.ledger.renew(fingerprint, nowMillis)), CrashAdmission.Refuse(lost.size))
        }
        val held = grants[fingerprint]
        if (held != null && held.attempt != attempt && held.expiresAtMillis > nowMillis) return Step(merged, CrashAdmission.Busy)
        // A preferred upstream that is down may be another loss whose cause has not been reported yet.
        val unexplained = order.take(MAX_LOST).filter { recentlyDown(it, nowMillis) && !merged.explained(it, fingerprint, nowMillis) }
        val suspected = (lost + unexplained).distinct()
        if (suspected.size >= MAX_LOST) return Step(merged, CrashAdmission.Busy)
        val target =
            order.firstOrNull { it !in suspected && !recentlyDown(it, nowMillis) } ?: return Step(merged, CrashAdmission.NoCandidate)
        val granted = merged.copy(grants = grants + (fingerprint to CrashGrant(attempt, nowMillis + timeoutMillis)))
        return Step(granted, CrashAdmission.Run(listOf(target)))
    }

    /** Ends the granted [attempt]; [known] contains its death if there was one. */
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

    /** Records that [upstream] cannot be reached, for whatever reason. */
    public fun withUnreachable(
        upstream: UpstreamId,
        nowMillis: Long,
    ): CrashGuard = copy(downSince = downSince + (upstream to nowMillis))

    /** Records that [upstream] answers again. */
    public fun withReachable(upstream: UpstreamId): CrashGuard = copy(downSince = downSince - upstream)

    /** Excuses the requests on an upstream whose end the platform or its operators announced. */
    public fun announced(
        upstream: UpstreamId,
        atMillis: Long,
    ): CrashGuard = copy(ledger = ledger.excuse(upstream, atMillis))

    /** Takes in entries from a peer. */
    public fun merge(other: CrashLedger): CrashGuard = copy(ledger = ledger.merge(other))

    /** Drops expired entries. */
    public fun expire(nowMillis: Long): CrashGuard =
        copy(
            ledger = ledger.expire(nowMillis),
            grants = grants.filterValues { it.expiresAtMillis > nowMillis },
            downSince = downSince.filterKeys { recentlyDown(it, nowMillis) },
        )

    /** The instance that grants attempts of [fingerprint]; this one when it knows no members. */
    public fun owner(
        fingerprint: Fingerprint,
        members: Collection<InstanceId>,
    ): InstanceId = RendezvousOrder.first(fingerprint.value, members) ?: self

    // A content that has cost two upstreams is the cause of their deaths; other contents on them are not.
    private fun explained(
        upstream: UpstreamId,
        fingerprint: Fingerprint,
        nowMillis: Long,
    ): Boolean =
        ledger.deaths.keys.any { other ->
            val lost = if (other == fingerprint) emptyList() else ledger.lostUpstreams(other, nowMillis)
            lost.size >= MAX_LOST && upstream in lost
        }

    private fun recentlyDown(
        upstream: UpstreamId,
        nowMillis: Long,
    ): Boolean = nowMillis < (downSince[upstream] ?: return false) + SETTLE_MILLIS

    /** Result of [grant]. */
    public data class Step(
        val guard: CrashGuard,
        val admission: CrashAdmission,
    )

    public companion object {
        /** Upstreams that one content may cost. */
        public const val MAX_LOST: Int = 2

        /** Time until gossip has told every instance the cause of a death; the bound for a death in section 1.7 of the design. */
        public const val SETTLE_MILLIS: Long = 10_000
    }
}
