package io.buckthornlever.gateway.process

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.serving.InstanceRecord
import io.buckthornlever.api.serving.QuotaHoldings
import io.buckthornlever.api.serving.ServedAccount
import io.buckthornlever.api.serving.StateFailure
import io.buckthornlever.api.serving.StateKind
import io.buckthornlever.api.serving.StateObject
import io.buckthornlever.api.serving.StateStore
import io.buckthornlever.api.serving.StateValue
import io.buckthornlever.api.serving.StoreRevision
import io.buckthornlever.core.serving.LocalQuotaLimiter
import io.buckthornlever.core.serving.QuotaAllocator
import java.time.Duration

/**
 * The allocation of quotas to instances as kept in the shared store. The lease holder plans it. Each
 * instance has at most one write in flight, and every write is conditional on the revision.
 */
internal class QuotaAllocationStore(
    private val settings: GatewaySettings,
    private val record: InstanceRecord,
    private val store: StateStore,
    private val clock: Clock,
    private val localLimiter: LocalQuotaLimiter,
    private val log: EventLog,
) {
    private val allocator = QuotaAllocator(settings.quota)
    private var lastOthers: Set<InstanceRecord> = emptySet()
    private var othersChangedAt = clock.monotonicNanos()
    private var revision = 0L

    /** True once the stored allocation has been read, or the store has confirmed that there is none yet. */
    var isKnown = false
        private set

    /** True while the store lacks the allocation in force. */
    private var isLost = false

    /** True while the store has an older allocation than the one in force, since it was restored from a copy. */
    private var isOutdated = false
    private var isWriting = false
    private var plannedAt = Long.MIN_VALUE / 2

    /**
     * Reads the allocation directly from the store at the start of this process and after a pause, since a relay's copy may be older
     * and the next answer of the feed seconds away. Calls [onEnded] when done.
     */
    fun read(onEnded: () -> Unit) {
        val sentNanos = clock.monotonicNanos()
        store.read(StateKind.QUOTA_HOLDINGS, OBJECT_NAME) { result ->
            result.onSuccess { found -> (found.value as? StateValue.Quota)?.let { update(found.revision, it.holdings) } }
            // After any other failure the feed delivers the allocation.
            if (result.isOk || result.getError() == StateFailure.NotFound) onConfirmed(sentNanos)
            onEnded()
        }
    }

    /** Applies [holdings], which the store had at [revision], unless a newer revision has been applied. */
    fun update(
        revision: Long,
        holdings: QuotaHoldings,
    ) {
        if (revision <= this.revision) return
        val inForce = localLimiter.holdings.takeIf { StoreRevision.eraOf(revision) > StoreRevision.eraOf(this.revision) }
        val next = if (inForce == null) holdings else allocator.restored(holdings, inForce)
        isOutdated = next != holdings
        follow(revision, next)
    }

    /**
     * The store has an allocation at [revision] that this release cannot read. It may give this instance's shares to other holders; the
     * instance holds none from now on.
     */
    fun onUnreadable(revision: Long) {
        if (revision <= this.revision) return
        isOutdated = false
        follow(revision, QuotaHoldings(emptyMap()))
    }

    private fun follow(
        revision: Long,
        holdings: QuotaHoldings,
    ) {
        this.revision = revision
        isLost = false
        localLimiter.update(holdings, clock.monotonicNanos())
        log.write(GatewayEvent.QUOTAS_DIVIDED, "revision" to revision, "accounts" to holdings.accounts.size)
    }

    /** The store no longer has the allocation; the lease holder writes the one in force again. */
    fun onLost() {
        isLost = true
    }

    /** The allocation read last was the current one in the store at [asOfNanos]. */
    fun onConfirmed(asOfNanos: Long) {
        isKnown = true
        localLimiter.onConfirmed(asOfNanos)
    }

    /**
     * Allocates the quotas of [accounts] without holders, and shares whose holders are not alive, to [others] and this instance. Called by
     * the lease holder.
     */
    fun allocate(
        accounts: List<ServedAccount>,
        others: Set<InstanceRecord>,
    ) {
        val now = clock.monotonicNanos()
        if (!isKnown || now - plannedAt < PLAN_INTERVAL.toNanos()) return
        if (others != lastOthers) {
            lastOthers = others.toSet()
            othersChangedAt = now
        }
        // At the first start of a site the other instances are still registering.
        if (settings.firstStart && revision == 0L && now - othersChangedAt < REGISTRATION_TIME.toNanos()) return
        plannedAt = now
        val next = allocator.next(localLimiter.holdings, accounts, others + record) ?: localLimiter.holdings.takeIf { isLost || isOutdated }
        next?.let(::write)
    }

    private fun write(next: QuotaHoldings) {
        if (isWriting) return
        isWriting = true
        val value = StateValue.Quota(next)
        val done = { result: Result<StateObject, StateFailure> ->
            isWriting = false
            result.onSuccess { update(it.revision, next) }
            // Not retried here: the feed delivers what the store has, and whatever caused this write will cause the next one.
            result.onFailure { log.write(GatewayEvent.QUOTAS_NOT_DIVIDED, "revision" to revision, "failure" to it) }
            Unit
        }
        if (revision == 0L || isLost) {
            store.create(StateKind.QUOTA_HOLDINGS, OBJECT_NAME, value, done)
        } else {
            store.replace(StateKind.QUOTA_HOLDINGS, OBJECT_NAME, revision, value, done)
        }
    }

    private companion object {
        const val OBJECT_NAME = "site"

        /** Short compared with the time that a new account may wait for its first allocation. */
        val PLAN_INTERVAL: Duration = Duration.ofMillis(500)

        /** Time without a new instance after which all instances that start together have registered. */
        val REGISTRATION_TIME: Duration = Duration.ofSeconds(1)
    }
}
