package io.buckthornlever.core.serving

import java.time.Duration

/**
 * What is known of an upstream when a request is sent there.
 *
 * @property tokensToRead prompt tokens of the request that the upstream has to read
 * @property tokensAhead prompt tokens of earlier requests of this instance that it has not read yet
 * @property loadShare requests that it is expected to hold, as a share of its slots
 * @property slowdown factor by which work is expected to take longer there than usual
 * @property figureAge age of the load figure; null without one
 * @property expected times that follow from all this
 */
public data class PlacementBasis(
    val tokensToRead: Int,
    val tokensAhead: Long,
    val loadShare: Double,
    val slowdown: Double,
    val figureAge: Duration?,
    val expected: ExpectedTimes,
)
