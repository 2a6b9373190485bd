package io.buckthornlever.core.process

import java.time.Duration

/**
 * Settings of routing and of the limits per upstream.
 *
 * @property firstByteTarget time to first byte that 95 of 100 interactive requests shall meet
 * @property shareGrowthDelay how long a cold-start share waits to grow after a member has gone; at least the time in which a death is
 * known to all plus [maxRequestDuration], since what the member had dispatched may still run
 * @property firstShareDelay how long a new instance waits for its first cold-start share; at least the time in which a join is known to all
 * @property maxRequestDuration longest time that a request runs
 * @property rampInterval time without refusals after which a cold upstream that reports no load is given twice the limit
 */
public data class RoutingSettings(
    val firstByteTarget: Duration = Duration.ofMillis(470),
    val shareGrowthDelay: Duration = Duration.ofSeconds(130),
    val firstShareDelay: Duration = Duration.ofSeconds(4),
    val maxRequestDuration: Duration = Duration.ofSeconds(120),
    val rampInterval: Duration = Duration.ofSeconds(15),
)
