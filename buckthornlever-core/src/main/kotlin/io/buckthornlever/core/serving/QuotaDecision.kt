package io.buckthornlever.core.serving

import java.time.Duration

/** Outcome of charging a request to the quota of its client account. */
public sealed interface QuotaDecision {
    /** The account has no quota. */
    public data object Unlimited : QuotaDecision

    /** Charged to shares held by this instance. */
    public data class ChargedLocally(
        val charge: QuotaCharge.Granted,
    ) : QuotaDecision

    /** Charged to credit that other instances have granted. */
    public data class ChargedToCredit(
        val parts: List<CreditPart>,
    ) : QuotaDecision

    /** No holder that answers has room; room is expected after [retryAfter]. */
    public data class NoRoom(
        val retryAfter: Duration,
    ) : QuotaDecision

    /** No holder that may have room has answered, or the holders are not known. */
    public data class Unknown(
        val retryAfter: Duration,
    ) : QuotaDecision
}
