package io.buckthornlever.api.serving

import io.buckthornlever.api.process.AccountId
import kotlinx.serialization.Serializable

/**
 * Which instances grant the quotas of client accounts. Each quota is divided into equal shares with one holder each.
 *
 * @property accounts division of each account's quota
 */
@Serializable
public data class QuotaHoldings(
    val accounts: Map<AccountId, AccountHolding>,
)
