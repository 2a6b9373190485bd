package io.buckthornlever.core.serving

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.serving.ServedRoute

/**
 * What admission under overload needs to know of a request.
 *
 * @property account client account; null on routes that need no key
 * @property tieBreak hash of the caller's attempt
 * @property tokens prompt tokens and expected output tokens
 * @property arrivedNanos monotonic time of its arrival
 * @property deadlineNanos monotonic time at which the final response is due
 */
public data class OverloadRequest(
    val service: String,
    val route: ServedRoute,
    val priority: RequestPriority,
    val account: AccountId?,
    val tieBreak: Long,
    val tokens: Int,
    val arrivedNanos: Long,
    val deadlineNanos: Long,
) {
    /** Position in 0..1 that is equally distributed over the requests and independent of other uses of [tieBreak]. */
    public val unitPosition: Double get() = StableHash.unit(StableHash.combine(tieBreak, POSITION_SALT))

    /** Position in 0..1 that decides whether the request is started against the expectation; independent of [unitPosition]. */
    public val trialPosition: Double get() = StableHash.unit(StableHash.combine(tieBreak, TRIAL_SALT))

    private companion object {
        const val TRIAL_SALT = 0x7e1a_15L
        const val POSITION_SALT = 0x0dd5_ca1eL
    }
}
