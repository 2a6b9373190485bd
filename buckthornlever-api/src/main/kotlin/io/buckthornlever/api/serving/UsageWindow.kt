package io.buckthornlever.api.serving

import io.buckthornlever.api.process.AccountId
import kotlinx.serialization.Serializable

/**
 * Usage of one accounting window: the requests that started in it.
 *
 * @property index number of the window, counted from the Unix epoch
 * @property counts number of requests by client account
 */
@Serializable
public data class UsageWindow(
    val index: Long,
    val counts: Map<AccountId, Long>,
)
