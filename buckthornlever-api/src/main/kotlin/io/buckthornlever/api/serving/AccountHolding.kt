package io.buckthornlever.api.serving

import kotlinx.serialization.Serializable

/**
 * Division of one account's quota.
 *
 * @property ceiling part of a share that its holder may grant in one window, from 0 to 1; the rest is sure to be free when the holder
 *   restarts and has forgotten what it granted
 * @property shares equal shares; an instance may hold several
 */
@Serializable
public data class AccountHolding(
    val ceiling: Double,
    val shares: List<QuotaShare>,
)
