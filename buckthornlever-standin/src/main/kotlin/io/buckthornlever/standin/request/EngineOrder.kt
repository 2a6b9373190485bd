package io.buckthornlever.standin.request

import java.time.Instant

/**
 * An order that reached an engine.
 *
 * @property fencing fencing number that the order carried
 * @property highestFencing highest fencing number that the engine had seen before
 * @property executed false when the order was refused because of its fencing number
 * @property endedAt end of its execution or refusal
 */
public data class EngineOrder(
    val fencing: Long,
    val highestFencing: Long,
    val kind: String,
    val model: String?,
    val version: String?,
    val arrivedAt: Instant,
    val endedAt: Instant,
    val executed: Boolean,
)
