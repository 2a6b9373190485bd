@file:UseSerializers(DurationSerializer::class)

package io.buckthornlever.api.serving

import io.buckthornlever.api.process.FailureDomain
import kotlinx.serialization.Serializable
import kotlinx.serialization.UseSerializers
import java.time.Duration

/**
 * Bounds and prices of orders for upstreams of one service.
 *
 * @property minimum fewest upstreams per failure domain
 * @property maximum most upstreams per failure domain
 * @property bootTime time from an order until the upstream serves
 * @property reclaimablePrice price of a reclaimable upstream relative to an on-demand one; null when none are offered
 * @property domainPrices price of one upstream-second by failure domain
 */
@Serializable
public data class ScalingLimits(
    val minimum: Int,
    val maximum: Int,
    val bootTime: Duration,
    val reclaimablePrice: Double?,
    val domainPrices: Map<FailureDomain, Double>,
)
