package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.RecordedCeilings
import java.time.Duration

/**
 * Ceilings on what this instance grants from its shares of quotas and other limits in one window, as fractions of its shares.
 *
 * A ceiling is recorded in the shared store before anything is granted under it. A process that starts under the same name thus knows
 * how much its predecessors may have granted, and grants only what lies above that until their usage has left the window. It records
 * its own part before it grants from it, so that any number of restarts within one window stays within the shares. Ceilings are
 * raised when a request needs it and lowered again when they are no longer needed. Not thread-safe.
 *
 * @param startNanos monotonic time at which this process started
 */
public class QuotaCeilings(
    private val window: Duration,
    private val startNanos: Long,
) {
    private var previous: RecordedCeilings? = null
    private var recorded: RecordedCeilings? = null
    private var unconfirmed: RecordedCeilings? = null
    private val wanted = HashMap<AccountId, Double>()
    private var raisedAt = startNanos

    /** True once the store has confirmed a ceiling of this process. */
    public val isRecorded: Boolean get() = recorded != null

    /**
     * Sets what the store holds. Before this process has recorded anything, that is what its predecessors may have granted; a write of
     * a predecessor may still arrive after the first read.
     */
    public fun onRead(stored: RecordedCeilings) {
        when {
            stored == unconfirmed -> onWritten(stored)
            recorded != null -> recorded = stored
            else -> previous = previous?.let { maximum(it, stored) } ?: stored
        }
    }

    /** The store may have lost the ceilings that this process has recorded; they are written again before others are granted under. */
    public fun onLost() {
        if (unconfirmed == null) unconfirmed = recorded
    }

    /** Records that [ceilings] are being written. Until it is known whether they were, the lower of both ceilings is in force. */
    public fun onWriteStarted(ceilings: RecordedCeilings) {
        unconfirmed = ceilings
    }

    /** Records that the store holds [ceilings], which this process has written. */
    public fun onWritten(ceilings: RecordedCeilings) {
        unconfirmed = null
        recorded = ceilings
        wanted.entries.removeIf { (account, fraction) -> fraction <= ceilings.of(account) }
    }

    /** Records that the ceilings written last were rejected and will not be carried out later. */
    public fun onRejected() {
        unconfirmed = null
    }

    /** Fraction of its shares of [account] that this process may have granted in the window that ends at [nanos]. */
    public fun grantable(
        account: AccountId,
        nanos: Long,
    ): Double {
        val ceiling = recorded?.of(account) ?: return 0.0
        return maxOf(0.0, minOf(ceiling, unconfirmed?.of(account) ?: ceiling) - grantedBefore(account, nanos))
    }

    /**
     * Fraction of its shares of limits without accounts that this process may have granted in the [limitWindow] that ends at [nanos]. The
     * default ceiling covers them and is never raised for them, so that they stay covered when it is lowered.
     */
    public fun grantableWithoutAccount(
        limitWindow: Duration,
        nanos: Long,
    ): Double {
        val ceiling = recorded?.default ?: return 0.0
        val before = if (nanos - startNanos > limitWindow.toNanos()) 0.0 else previous?.default ?: 1.0
        return (minOf(ceiling, unconfirmed?.default ?: ceiling) - before).coerceIn(0.0, INITIAL)
    }

    /** Largest fraction that [grantable] can return for [account] once its ceiling has been raised. */
    public fun grantableWhenRaised(
        account: AccountId,
        nanos: Long,
    ): Double = 1 - grantedBefore(account, nanos)

    /** Requests a ceiling for [account] under which this process can grant [fraction] of its shares. */
    public fun raise(
        account: AccountId,
        fraction: Double,
        nanos: Long,
    ) {
        val current = recorded?.of(account) ?: return
        val target = minOf(1.0, maxOf(fraction + grantedBefore(account, nanos), current + RAISE_STEP))
        wanted.merge(account, target, ::maxOf)
        raisedAt = nanos
    }

    /**
     * Returns the ceilings that should be written now, or null when the recorded ones are right.
     *
     * @param usage fractions of its shares that this process has granted in the window that ends at [nanos], for all accounts of which it
     *   may have granted anything
     */
    public fun next(
        nanos: Long,
        usage: () -> Map<AccountId, Double>,
    ): RecordedCeilings? {
        val before = previous ?: return null
        val current = recorded ?: return firstClaim(before)
        // A write without a known result may be carried out until another one has changed the object.
        unconfirmed?.let { return it }
        val accounts = HashMap(current.accounts)
        for ((account, fraction) in wanted) if (fraction > current.of(account)) accounts[account] = fraction
        if (nanos - maxOf(raisedAt, startNanos) <= LOWERING_WINDOWS * window.toNanos()) {
            return current.copy(accounts = accounts).takeIf { it != current }
        }
        if (accounts.isEmpty() && current == BASE) return null
        val needed = usage().filterValues { it > INITIAL }.mapValues { (account, _) -> accounts[account] ?: current.default }
        return RecordedCeilings(INITIAL, needed).takeIf { it != current }
    }

    private fun firstClaim(before: RecordedCeilings): RecordedCeilings =
        RecordedCeilings(claimAbove(before.default), before.accounts.mapValues { claimAbove(it.value) })

    private fun claimAbove(granted: Double): Double = if (granted <= 0) INITIAL else minOf(1.0, granted + RAISE_STEP)

    private fun grantedBefore(
        account: AccountId,
        nanos: Long,
    ): Double = if (nanos - startNanos > window.toNanos()) 0.0 else previous?.of(account) ?: 1.0

    private fun maximum(
        first: RecordedCeilings,
        second: RecordedCeilings,
    ): RecordedCeilings =
        RecordedCeilings(
            maxOf(first.default, second.default),
            (first.accounts.keys + second.accounts.keys).associateWith { maxOf(first.of(it), second.of(it)) },
        )

    public companion object {
        /** Ceiling while no request needs a higher one; normal usage stays below half of a quota. */
        public const val INITIAL: Double = 0.5

        /** Smallest step by which a ceiling is raised, so that one store call serves several requests. */
        private const val RAISE_STEP = 0.25

        /** Windows without a raise after which ceilings are lowered; a large request needs a raise every few seconds. */
        private const val LOWERING_WINDOWS = 2

        private val BASE = RecordedCeilings(INITIAL)
    }
}
