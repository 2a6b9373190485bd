package io.buckthornlever.api.serving

import kotlinx.serialization.Serializable

/**
 * One share of a quota.
 *
 * @property holder instance that grants it
 * @property generation number of holders that the share had before
 */
@Serializable
public data class QuotaShare(
    val holder: String,
    val generation: Int = 0,
)
