package io.buckthornlever.gateway.process

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.serving.InstanceRecord
import io.buckthornlever.api.serving.QuotaHoldings
import io.buckthornlever.api.serving.ServedAccount
import io.buckthornlever.api.serving.StateFailure
import io.buckthornlever.api.serving.StateKind
import io.buckthornlever.api.serving.StateObject
import io.buckthornlever.api.serving.StateStore
import io.buckthornlever.api.serving.StateValue
import io.buckthornlever.core.serving.HeldQuotas
import io.buckthornlever.core.serving.QuotaPlan
import java.time.Duration

/**
 * The stored division of quotas among instances. The lease holder plans it and holders raise its ceilings, all by writes under a
 * condition on the revision, one at a time.
 */
internal class QuotaAllocationStore(
    private val settings: GatewaySettings,
    private val record: InstanceRecord,
    private val store: StateStore,
    private val clock: Clock,
    private val localLimiter: HeldQuotas,
    private val log: EventLog,
) {
    private val allocator = QuotaPlan(settings.quota)
    private var lastOthers: Set<InstanceRecord> = emptySet()
    private var othersChangedAt = clock.monotonicNanos()
    private var revision = 0L

    /** True once it is known how quotas are divided, or that they are not yet. */
    var isKnown = false
        private set

    private var isWriting = false
    private var plannedAt = Long.MIN_VALUE / 2

    /** Reads the division from the store itself, since another instance's word may be older than this process. */
    fun start(onKnown: () -> Unit) {
        val sentNanos = clock.monotonicNanos()
        store.read(StateKind.QUOTA_HOLDINGS, OBJECT_NAME) { result ->
            result.onSuccess { found -> (found.value as? StateValue.Quota)?.let { update(found.revision, it.holdings) } }
            // After another failure the feed tells the division.
            if (result.isOk || result.getError() == StateFailure.NotFound) onConfirmed(sentNanos)
            onKnown()
        }
    }

    /** The store holds [holdings] at [revision]. */
    fun update(
        revision: Long,
        holdings: QuotaHoldings,
    ) {
        if (revision <= this.revision) return
        this.revision = revision
        localLimiter.take(holdings, clock.monotonicNanos())
        log.write(GatewayEvent.QUOTAS_DIVIDED, "revision" to revision, "accounts" to holdings.accounts.size)
    }

    /** What was read is all that the store held at [asOfNanos]. */
    fun onConfirmed(asOfNanos: Long) {
        isKnown = true
        localLimiter.confirmed(asOfNanos)
    }

    /** Divides what is not divided yet among [others] and this instance; called by the lease holder. */
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
        // At the first start the others still register.
        if (settings.firstStart && revision == 0L && now - othersChangedAt < REGISTRATION_TIME.toNanos()) return
        plannedAt = now
        allocator.next(localLimiter.holdings, accounts, others + record)?.let(::write)
    }

    /** Raises the ceiling of [account]. */
    fun raiseCeiling(account: AccountId) {
        localLimiter.raised(account)?.let(::write)
    }

    private fun write(next: QuotaHoldings) {
        if (isWriting) return
        isWriting = true
        val value = StateValue.Quota(next)
        val done = { result: Result<StateObject, StateFailure> ->
            isWriting = false
            result.onSuccess { update(it.revision, next) }
            // The feed tells what stands in the store; the reason for this write comes again.
            result.onFailure { log.write(GatewayEvent.QUOTAS_NOT_DIVIDED, "revision" to revision, "failure" to it) }
            Unit
        }
        if (revision == 0L) {
            store.create(StateKind.QUOTA_HOLDINGS, OBJECT_NAME, value, done)
        } else {
            store.replace(StateKind.QUOTA_HOLDINGS, OBJECT_NAME, revision, value, done)
        }
    }

    private companion object {
        const val OBJECT_NAME = "site"

        /** Short beside the time for which an account waits for its first division. */
        val PLAN_INTERVAL: Duration = Duration.ofMillis(500)

        /** Time without a new instance after which all that start together have registered. */
        val REGISTRATION_TIME: Duration = Duration.ofSeconds(1)
    }
}
