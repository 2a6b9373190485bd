package io.buckthornlever.standin.request

import java.time.Instant

/**
 * An order that reached an engine.
 *
 * @property fencing fencing number that the order carried
 * @property highestFencing highest fencing number that the engine had seen before
 * @property executed false when the order was refused because of its fencing number
 */
public data class EngineOrder(
    val fencing: Long,
    val highestFencing: Long,
    val kind: String,
    val model: String?,
    val version: String?,
    val at: Instant,
    val executed: Boolean,
)
