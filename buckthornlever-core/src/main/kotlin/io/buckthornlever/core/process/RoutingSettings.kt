package io.buckthornlever.core.process

import java.time.Duration

/**
 * Settings of routing and of the concurrency limits per upstream.
 *
 * @property firstByteTarget target of the 95th percentile of the time to first byte of interactive requests
 * @property shareGrowthDelay delay before a cold-start share grows after a member has departed; at least the time within which all
 * instances learn of a death plus [maxRequestDuration], since requests that the member dispatched may still run
 * @property firstShareDelay delay before a new instance gets its first cold-start share; at least the time within which all instances learn
 * of a join
 * @property maxRequestDuration maximum time for which a request runs
 * @property rampInterval time without refusals after which the limit of a cold upstream that reports no load is doubled
 */
public data class RoutingSettings(
    val firstByteTarget: Duration = Duration.ofMillis(470),
    val shareGrowthDelay: Duration = Duration.ofSeconds(130),
    val firstShareDelay: Duration = Duration.ofSeconds(4),
    val maxRequestDuration: Duration = Duration.ofSeconds(120),
    val rampInterval: Duration = Duration.ofSeconds(15),
)
