package io.buckthornlever.bench.process

import kotlinx.serialization.Serializable

/**
 * One figure of an experiment for both sides.
 *
 * @property naive figure of the naive baseline; null when it does not apply
 */
@Serializable
internal data class Measurement(
    val metric: String,
    val unit: String,
    val naive: Double?,
    val implementation: Double,
)
