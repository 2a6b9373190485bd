package io.buckthornlever.bench.request

import java.time.Duration

/**
 * Speeds and sizes of a simulated engine.
 *
 * @property slots requests at once that a warm engine runs
 * @property waitingLimit requests that wait in the engine before it refuses further ones
 * @property cacheBlocks prefix blocks that fit into the engine's memory
 * @property decodeStep time per output token with one request; grows to twice that with all slots in use
 * @property warmUp time in which a cold engine's capacity grows from the cold one to all slots
 */
internal data class EngineSettings(
    val slots: Int = 16,
    val coldSlots: Int = 2,
    val waitingLimit: Int = 64,
    val cacheBlocks: Int = 1_200,
    val prefillTokensPerSecond: Int = 8_000,
    val decodeStep: Duration = Duration.ofMillis(16),
    val warmUp: Duration = Duration.ofSeconds(60),
)
