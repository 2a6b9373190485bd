package io.buckthornlever.api.serving

import io.buckthornlever.api.process.AccountId
import kotlinx.serialization.Serializable

/**
 * Assignment of quota shares to instances. The quota of each client account is divided into equal shares, and each share is granted by the
 * one instance that holds it.
 *
 * @property accounts shares of each client account's quota
 */
@Serializable
public data class QuotaHoldings(
    val accounts: Map<AccountId, AccountHolding>,
)
