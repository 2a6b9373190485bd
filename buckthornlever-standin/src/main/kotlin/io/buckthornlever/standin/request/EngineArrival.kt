package io.buckthornlever.standin.request

import java.time.Instant

/**
 * A completion request that reached an engine.
 *
 * @property inFlight requests in flight, this one included
 * @property leaving true when the engine had already announced that it leaves
 * @property status status of a refusal; null when the request was admitted
 */
public data class EngineArrival(
    val requestId: String,
    val version: String,
    val path: String,
    val at: Instant,
    val inFlight: Int,
    val cold: Boolean,
    val leaving: Boolean,
    val status: Int?,
)
