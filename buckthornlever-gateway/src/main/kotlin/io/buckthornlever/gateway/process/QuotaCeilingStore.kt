package io.buckthornlever.gateway.process

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.serving.RecordedCeilings
import io.buckthornlever.api.serving.ServedAccount
import io.buckthornlever.api.serving.StateFailure
import io.buckthornlever.api.serving.StateKind
import io.buckthornlever.api.serving.StateObject
import io.buckthornlever.api.serving.StateStore
import io.buckthornlever.api.serving.StateValue
import io.buckthornlever.core.serving.LocalQuotaLimiter
import io.buckthornlever.core.serving.QuotaCeilings
import java.time.Duration

/**
 * Keeps the [ceilings] of this instance in an object of its own in the shared store. At most one call is in flight, and every write is
 * conditional on the revision that was read or written last, so that a write that is carried out late cannot replace a newer one.
 *
 * @param firstStart true when no instance can have granted anything before this start
 * @param findAccount looks up an account in the current serving table
 */
internal class QuotaCeilingStore(
    private val instance: String,
    private val firstStart: Boolean,
    private val store: StateStore,
    private val clock: Clock,
    private val ceilings: QuotaCeilings,
    private val limiter: LocalQuotaLimiter,
    private val findAccount: (AccountId) -> ServedAccount?,
    private val log: EventLog,
) {
    private var revision: Long? = null
    private var isRead = false
    private var isCalling = false
    private var isAllocationRead = false
    private var awaitsAllocation = false
    private var failedAt = Long.MIN_VALUE / 2
    private var onSettled: (() -> Unit)? = null

    /** True once this process may grant quota, or the store could not be reached for it. */
    var isSettled = false
        private set

    /** Reads what earlier processes recorded and records this one's part. Calls [onSettled] once that has succeeded or failed. */
    fun start(onSettled: () -> Unit) {
        this.onSettled = onSettled
        update()
    }

    /** Called once the first read of the allocation has ended. */
    fun onAllocationRead() {
        isAllocationRead = true
        if (!awaitsAllocation) return
        awaitsAllocation = false
        onAbsent()
    }

    /** Requests a ceiling under which [cost] units more can be charged to this instance's shares of [account]. */
    fun raise(
        account: ServedAccount,
        cost: Double,
    ) {
        limiter.requestRaise(account, cost, clock.monotonicNanos())
        update()
    }

    /** The store was restored from a copy, which may lack the ceilings recorded last. */
    fun onStoreRestored() {
        if (!isSettled) return
        ceilings.onLost()
        isRead = false
        update()
    }

    /** Writes the ceilings that are due, after reading them again if the result of an earlier call is not known. */
    fun update() {
        val now = clock.monotonicNanos()
        if (isCalling || awaitsAllocation || now - failedAt < RETRY_INTERVAL.toNanos()) return
        if (!isRead) return read()
        val next = ceilings.next(now) { limiter.usedFractions(findAccount, now) } ?: return
        write(next)
    }

    private fun read() {
        isCalling = true
        store.read(StateKind.QUOTA_CEILINGS, instance) { result ->
            isCalling = false
            result.onSuccess(::onRead)
            result.onFailure { if (it == StateFailure.NotFound) onAbsent() else onFailed(it) }
        }
    }

    private fun onRead(found: StateObject) {
        isRead = true
        revision = found.revision
        // An object that this release cannot read may stand for any usage.
        ceilings.onRead((found.value as? StateValue.Ceilings)?.ceilings ?: RecordedCeilings(1.0))
        update()
    }

    private fun onAbsent() {
        if (!isAllocationRead && !firstStart) {
            awaitsAllocation = true
            return
        }
        isRead = true
        revision = null
        ceilings.onRead(if (firstStart) RecordedCeilings(0.0) else inheritedCeilings())
        update()
    }

    /** Holders of earlier releases recorded nothing of their own, but kept to the ceilings of the allocation. */
    private fun inheritedCeilings(): RecordedCeilings {
        val holdings = limiter.holdings ?: return RecordedCeilings(1.0)
        return RecordedCeilings(QuotaCeilings.INITIAL, holdings.accounts.mapValues { it.value.ceiling })
    }

    private fun write(next: RecordedCeilings) {
        isCalling = true
        ceilings.onWriteStarted(next)
        val known = revision
        val value = StateValue.Ceilings(next)
        val done = { result: Result<StateObject, StateFailure> -> onWriteEnded(next, result) }
        if (known == null) {
            store.create(StateKind.QUOTA_CEILINGS, instance, value, done)
        } else {
            store.replace(StateKind.QUOTA_CEILINGS, instance, known, value, done)
        }
    }

    private fun onWriteEnded(
        written: RecordedCeilings,
        result: Result<StateObject, StateFailure>,
    ) {
        isCalling = false
        result.onSuccess {
            revision = it.revision
            ceilings.onWritten(written)
            settle()
            update()
        }
        result.onFailure {
            if (it !is StateFailure.Unknown) ceilings.onRejected()
            isRead = false
            if (it is StateFailure.Conflict) update() else onFailed(it)
        }
    }

    private fun onFailed(failure: StateFailure) {
        failedAt = clock.monotonicNanos()
        log.write(GatewayEvent.QUOTA_CEILINGS_NOT_RECORDED, "revision" to revision, "failure" to failure)
        settle()
    }

    private fun settle() {
        isSettled = true
        onSettled?.invoke()
        onSettled = null
    }

    private companion object {
        /** Interval between attempts while the store fails: each call has a cost, and the quota of other holders is available. */
        val RETRY_INTERVAL: Duration = Duration.ofSeconds(1)
    }
}
