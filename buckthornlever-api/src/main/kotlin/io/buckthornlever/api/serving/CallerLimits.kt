@file:UseSerializers(DurationSerializer::class)

package io.buckthornlever.api.serving

import kotlinx.serialization.Serializable
import kotlinx.serialization.UseSerializers
import java.time.Duration

/**
 * Limits on the size and duration of what a caller sends.
 *
 * @property maxHeaderBytes largest request head, in bytes
 * @property maxBodyBytes largest request body, in bytes
 * @property headerTimeout longest time in which the whole request head has to arrive
 * @property idleTimeout longest time that an open connection may stay without a request
 */
@Serializable
public data class CallerLimits(
    val maxHeaderBytes: Int = 16_384,
    val maxBodyBytes: Int = 4_194_304,
    val headerTimeout: Duration = Duration.ofSeconds(3),
    val idleTimeout: Duration = Duration.ofSeconds(15),
)
