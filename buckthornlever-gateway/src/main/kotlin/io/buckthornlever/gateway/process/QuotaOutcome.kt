package io.buckthornlever.gateway.process

import io.buckthornlever.core.serving.QuotaCharge

/** Outcome of a request's charge to a quota. */
internal sealed interface QuotaOutcome {
    /** The account has no quota. */
    data object Unlimited : QuotaOutcome

    /** Charged to shares of this instance. */
    data class ChargedLocally(
        val charge: QuotaCharge.Granted,
    ) : QuotaOutcome

    /** Charged to shares of [holder] as its answer to the question [id]. */
    data class ChargedRemotely(
        val holder: String,
        val id: Long,
    ) : QuotaOutcome

    /** No share that was asked has room. */
    data object Exhausted : QuotaOutcome

    /** Nobody who could charge the request answered. */
    data object Unreachable : QuotaOutcome
}
