package io.buckthornlever.gateway.request

import io.buckthornlever.core.serving.StatedLimit
import io.buckthornlever.core.serving.StatedLoad
import io.buckthornlever.core.serving.StatedPause
import java.time.Duration

/**
 * Decoded head of an upstream's response.
 *
 * @property requestId ID of the request that the response belongs to; null if it has none
 * @property hasProofOfOrigin true if the response carries the upstream's proof of origin
 * @property notRun true if the upstream states that the request did not and will not run
 * @property load load that the upstream states; null if it states none
 * @property coldFor how long the upstream stays cold, that is, bears little load; null if not reported
 * @property limit what the upstream says about the requests that it takes from all instances together
 * @property leaving true if the upstream says that it will shut down
 * @property pause for how long the upstream, which turns the request away, wants none from this instance
 */
public data class UpstreamResponseHead(
    val requestId: String?,
    val hasProofOfOrigin: Boolean,
    val notRun: Boolean,
    val load: StatedLoad?,
    val coldFor: Duration?,
    val limit: StatedLimit = StatedLimit.None,
    val leaving: Boolean = false,
    val pause: StatedPause = StatedPause.None,
)
