@file:UseSerializers(DurationSerializer::class)

package io.buckthornlever.api.serving

import kotlinx.serialization.Serializable
import kotlinx.serialization.UseSerializers
import java.time.Duration

/**
 * Bounds on what a caller may send and how long it may take.
 *
 * @property headerTimeout longest time for the head of a request
 * @property idleTimeout longest time without a request on an open connection
 */
@Serializable
public data class CallerLimits(
    val maxHeaderBytes: Int = 16_384,
    val maxBodyBytes: Int = 4_194_304,
    val headerTimeout: Duration = Duration.ofSeconds(3),
    val idleTimeout: Duration = Duration.ofSeconds(15),
)
