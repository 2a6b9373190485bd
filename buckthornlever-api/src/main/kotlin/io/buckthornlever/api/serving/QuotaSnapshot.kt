package io.buckthornlever.api.serving

import io.buckthornlever.api.process.AccountId
import kotlinx.serialization.Serializable

/**
 * Quota that all instances used lately, for instances that start and know nothing.
 *
 * @property takenAtMillis wall-clock time of the snapshot, in milliseconds since the epoch
 * @property used units by client account, in equal slots of the quota's window, the oldest first
 */
@Serializable
public data class QuotaSnapshot(
    val takenAtMillis: Long,
    val used: Map<AccountId, List<Double>>,
)
