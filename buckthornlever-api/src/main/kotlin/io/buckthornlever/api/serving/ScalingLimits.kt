@file:UseSerializers(DurationSerializer::class)

package io.buckthornlever.api.serving

import io.buckthornlever.api.process.FailureDomain
import kotlinx.serialization.Serializable
import kotlinx.serialization.UseSerializers
import java.time.Duration

/**
 * Limits and prices for scaling the upstreams of one service.
 *
 * @property minimum smallest number of upstreams per failure domain
 * @property maximum largest number of upstreams per failure domain
 * @property bootTime time from ordering an upstream until it serves requests
 * @property reclaimablePrice price of a reclaimable upstream relative to an on-demand one; null when none are offered
 * @property domainPrices price of one upstream for one second, by failure domain
 */
@Serializable
public data class ScalingLimits(
    val minimum: Int,
    val maximum: Int,
    val bootTime: Duration,
    val reclaimablePrice: Double?,
    val domainPrices: Map<FailureDomain, Double>,
)
