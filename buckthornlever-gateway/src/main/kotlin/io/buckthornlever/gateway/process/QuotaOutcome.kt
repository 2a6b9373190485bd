package io.buckthornlever.gateway.process

import io.buckthornlever.core.serving.QuotaCharge

/** Outcome of charging a request to the quota of its client account. */
internal sealed interface QuotaOutcome {
    /** The account has no quota. */
    data object Unlimited : QuotaOutcome

    /** Charged to shares held by this instance. */
    data class ChargedLocally(
        val charge: QuotaCharge.Granted,
    ) : QuotaOutcome

    /** Charged to shares held by the instance [holder], in response to the charge request [id]. */
    data class ChargedRemotely(
        val holder: String,
        val id: Long,
    ) : QuotaOutcome

    /** None of the holders asked has room. */
    data object Exhausted : QuotaOutcome

    /** No holder that could charge the request responded. */
    data object Unreachable : QuotaOutcome
}
