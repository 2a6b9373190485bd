package io.buckthornlever.api.serving

import io.buckthornlever.api.process.AccountId
import kotlinx.serialization.Serializable

/**
 * A client account with its API keys and its quota, which applies to all instances together.
 *
 * @property priority overrides the priority of the route; null when the account has none
 * @property unit what [ratePerSecond] and [burst] count
 * @property plainTokens number of tokens charged for a request that does not state its size
 * @property ratePerSecond quota in [unit] per second; 0 means no limit
 * @property burst units that may be used at once on top of [ratePerSecond]
 */
@Serializable
public data class ServedAccount(
    val id: AccountId,
    val keys: Set<String>,
    val priority: Int?,
    val unit: QuotaUnit,
    val plainTokens: Long,
    val ratePerSecond: Double,
    val burst: Double,
)
