package io.buckthornlever.api.serving

import kotlinx.serialization.Serializable

/**
 * The shares into which the quota of one client account is divided.
 *
 * @property ceiling fraction of a share that a holder without [RecordedCeilings] may have granted in one window, from 0 to 1
 * @property shares shares of equal size; an instance may hold several
 */
@Serializable
public data class AccountHolding(
    val ceiling: Double,
    val shares: List<QuotaShare>,
)
