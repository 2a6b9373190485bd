package io.buckthornlever.api.serving

import io.buckthornlever.api.process.AccountId
import kotlinx.serialization.Serializable

/**
 * Requests that began to run in one accounting window.
 *
 * @property index number of the window, counted from the start of 1970
 */
@Serializable
public data class UsageWindow(
    val index: Long,
    val counts: Map<AccountId, Long>,
)
