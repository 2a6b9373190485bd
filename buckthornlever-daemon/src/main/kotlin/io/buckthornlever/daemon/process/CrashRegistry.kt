package io.buckthornlever.daemon.process

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.PoolTable
import io.buckthornlever.api.process.Route
import io.buckthornlever.api.request.RequestId
import io.buckthornlever.core.process.CrashAdmission
import io.buckthornlever.core.process.CrashGuard
import io.buckthornlever.core.process.CrashLedger
import io.buckthornlever.core.process.Fingerprint
import io.buckthornlever.core.process.RendezvousOrder
import java.util.concurrent.atomic.AtomicReference

/** Crash fingerprints known to this instance. Until entry instances exchange messages it is the owner of all of them. */
internal class CrashRegistry(
    self: InstanceId,
    private val clock: Clock,
) {
    private val guard = AtomicReference(CrashGuard(self))

    /** Deaths known to this instance, for gossip and the state dump. */
    val ledger: CrashLedger get() = guard.get().ledger

    /** Upstreams that died while they ran [fingerprint]. */
    fun lost(fingerprint: Fingerprint): Set<UpstreamId> = ledger.lostUpstreams(fingerprint, nowMillis()).toSet()

    /** Takes in deaths known to a peer. */
    fun merge(other: CrashLedger) {
        guard.updateAndGet { it.merge(other) }
    }

    /** Decides whether [attempt] of [fingerprint] may run; null when it may run anywhere. */
    fun admit(
        fingerprint: Fingerprint,
        attempt: RequestId,
        route: Route,
        pools: PoolTable,
    ): CrashAdmission? {
        val now = nowMillis()
        val current = guard.get()
        if (current.downSince.isEmpty() && current.ledger.lostUpstreams(fingerprint, now).isEmpty()) return null
        val order = order(fingerprint, route, pools)
        val admission = current.admit(fingerprint, order, emptyList(), now)
        if (admission is CrashAdmission.Run) return null
        if (admission !is CrashAdmission.AskOwner) return admission
        var granted: CrashAdmission = admission
        guard.updateAndGet {
            val step = it.grant(fingerprint, attempt, order, CrashLedger(), now, route.timeoutMillis)
            granted = step.admission
            step.guard
        }
        return granted
    }

    /** Ends [attempt]. */
    fun release(
        fingerprint: Fingerprint,
        attempt: RequestId,
    ) {
        guard.updateAndGet { it.release(fingerprint, attempt, CrashLedger()) }
    }

    /** Records that [upstream] died while it ran [fingerprint]. */
    fun died(
        fingerprint: Fingerprint,
        upstream: UpstreamId,
    ) {
        guard.updateAndGet { it.withDeath(fingerprint, upstream, nowMillis()) }
    }

    /** Records that [upstream] cannot be reached; its end may have been announced. */
    fun unreachable(upstream: UpstreamId) {
        guard.updateAndGet { it.withUnreachable(upstream, nowMillis()) }
    }

    /** Records that [upstream] answers, and drops expired entries. */
    fun reachable(upstream: UpstreamId) {
        if (upstream in guard.get().downSince) guard.updateAndGet { it.withReachable(upstream) }
    }

    /** Drops expired entries. */
    fun expire() {
        guard.updateAndGet { it.expire(nowMillis()) }
    }

    /** All upstreams of the pools of [route]. */
    fun candidates(
        route: Route,
        pools: PoolTable,
    ): List<UpstreamId> = pools.pools.filter { it.name in route.pools }.flatMap { pool -> pool.upstreams.map { it.id } }

    // The first two are in different failure domains, so that the loss of a domain takes only one of them.
    private fun order(
        fingerprint: Fingerprint,
        route: Route,
        pools: PoolTable,
    ): List<UpstreamId> {
        val plain = RendezvousOrder.of(fingerprint.value, candidates(route, pools))
        val domains = pools.pools.flatMap { it.upstreams }.associate { it.id to it.failureDomain }
        val second = plain.firstOrNull { domains[it] != domains[plain.first()] } ?: return plain
        return listOf(plain.first(), second) + plain.drop(1).filter { it != second }
    }

    private fun nowMillis(): Long = clock.now().toEpochMilli()
}
