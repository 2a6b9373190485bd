package io.buckthornlever.api.serving

import io.buckthornlever.api.version.VersionLabel
import java.time.Duration

/**
 * Operator's order to move the traffic of [service] to [target].
 *
 * @property duration time in which the move has to be decided
 */
public data class VersionOrder(
    val service: String,
    val target: VersionLabel,
    val duration: Duration,
)
