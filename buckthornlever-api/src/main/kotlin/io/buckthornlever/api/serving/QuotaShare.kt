package io.buckthornlever.api.serving

import kotlinx.serialization.Serializable

/**
 * One of the equal shares of a client account's quota.
 *
 * @property holder name of the instance that grants this share
 * @property generation number of previous holders of the share
 */
@Serializable
public data class QuotaShare(
    val holder: String,
    val generation: Int = 0,
)
