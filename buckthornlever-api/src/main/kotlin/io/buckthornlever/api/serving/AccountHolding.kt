package io.buckthornlever.api.serving

import kotlinx.serialization.Serializable

/**
 * The shares into which the quota of one client account is divided.
 *
 * @property ceiling fraction of a share that its holder may grant in one window, from 0 to 1; the rest stays free for a
 *   holder that restarts and no longer knows what it granted
 * @property shares shares of equal size; an instance may hold several
 */
@Serializable
public data class AccountHolding(
    val ceiling: Double,
    val shares: List<QuotaShare>,
)
