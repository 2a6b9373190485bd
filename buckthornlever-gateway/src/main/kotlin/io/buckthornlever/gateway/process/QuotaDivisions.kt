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
import io.buckthornlever.core.serving.LocalQuotaLimiter
import io.buckthornlever.core.serving.QuotaAllocator
import java.time.Duration

/**
 * The stored division of quotas among instances. The lease holder plans it and holders raise its ceilings, all by writes under a
 * condition on the revision, one at a time.
 */
internal class QuotaDivisions(
    private val settings: GatewaySettings,
    private val record: InstanceRecord,
    private val store: StateStore,
    private val clock: Clock,
    private val held: LocalQuotaLimiter,
    private val log: EventLog,
) {
    private val plan = QuotaAllocator(settings.quota)
    private var seen: Set<InstanceRecord> = emptySet()
    private var seenAt = clock.monotonicNanos()
    private var revision = 0L

    /** True once it is known how quotas are divided, or that they are not yet. */
    var known = false
        private set

    private var writing = false
    private var plannedAt = Long.MIN_VALUE / 2

    /** Reads the division from the store itself, since another instance's word may be older than this process. */
    fun start(whenKnown: () -> Unit) {
        val sent = clock.monotonicNanos()
        store.read(StateKind.QUOTA_HOLDINGS, NAME) { result ->
            result.onSuccess { found -> (found.value as? StateValue.Quota)?.let { read(found.revision, it.holdings) } }
            // After another failure the feed tells the division.
            if (result.isOk || result.getError() == StateFailure.NotFound) confirmed(sent)
            whenKnown()
        }
    }

    /** The store holds [holdings] at [revision]. */
    fun read(
        revision: Long,
        holdings: QuotaHoldings,
    ) {
        if (revision <= this.revision) return
        this.revision = revision
        held.update(holdings, clock.monotonicNanos())
        log.write(GatewayEvent.QUOTAS_DIVIDED, "revision" to revision, "accounts" to holdings.accounts.size)
    }

    /** What was read is all that the store held at [asOfNanos]. */
    fun confirmed(asOfNanos: Long) {
        known = true
        held.onConfirmed(asOfNanos)
    }

    /** Divides what is not divided yet among [others] and this instance; called by the lease holder. */
    fun plan(
        accounts: List<ServedAccount>,
        others: Set<InstanceRecord>,
    ) {
        val now = clock.monotonicNanos()
        if (!known || now - plannedAt < PLAN_INTERVAL.toNanos()) return
        if (others != seen) {
            seen = others.toSet()
            seenAt = now
        }
        // At the first start the others still register.
        if (settings.firstStart && revision == 0L && now - seenAt < REGISTRATION.toNanos()) return
        plannedAt = now
        plan.next(held.holdings, accounts, others + record)?.let(::write)
    }

    /** Raises the ceiling of [account]. */
    fun raise(account: AccountId) {
        held.withRaisedCeiling(account)?.let(::write)
    }

    private fun write(next: QuotaHoldings) {
        if (writing) return
        writing = true
        val value = StateValue.Quota(next)
        val done = { result: Result<StateObject, StateFailure> ->
            writing = false
            result.onSuccess { read(it.revision, next) }
            // The feed tells what stands in the store; the reason for this write comes again.
            result.onFailure { log.write(GatewayEvent.QUOTAS_NOT_DIVIDED, "revision" to revision, "failure" to it) }
            Unit
        }
        if (revision == 0L) {
            store.create(StateKind.QUOTA_HOLDINGS, NAME, value, done)
        } else {
            store.replace(StateKind.QUOTA_HOLDINGS, NAME, revision, value, done)
        }
    }

    private companion object {
        const val NAME = "site"

        /** Short beside the time for which an account waits for its first division. */
        val PLAN_INTERVAL: Duration = Duration.ofMillis(500)

        /** Time without a new instance after which all that start together have registered. */
        val REGISTRATION: Duration = Duration.ofSeconds(1)
    }
}
