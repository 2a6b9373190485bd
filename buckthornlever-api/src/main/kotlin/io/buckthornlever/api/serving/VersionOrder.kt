@file:UseSerializers(DurationSerializer::class)

package io.buckthornlever.api.serving

import io.buckthornlever.api.version.VersionLabel
import kotlinx.serialization.Serializable
import kotlinx.serialization.UseSerializers
import java.time.Duration

/**
 * An operator's order to move the traffic of [service] to the version [target].
 *
 * @property duration time within which the outcome of the move has to be decided
 */
@Serializable
public data class VersionOrder(
    val service: String,
    val target: VersionLabel,
    val duration: Duration,
)
