package io.buckthornlever.api.serving

import io.buckthornlever.api.process.AccountId
import kotlinx.serialization.Serializable

/**
 * Fractions of its shares of quotas and other limits that one instance and earlier processes under its name may have granted in one
 * window, from 0 to 1.
 *
 * @property default fraction for accounts that are not in [accounts], and for limits that belong to no account
 */
@Serializable
public data class RecordedCeilings(
    val default: Double,
    val accounts: Map<AccountId, Double> = emptyMap(),
) {
    /** Fraction for [account]. */
    public fun of(account: AccountId): Double = accounts[account] ?: default
}
