package io.buckthornlever.core.process

import java.time.Duration

/**
 * Settings of routing and of the limits per upstream.
 *
 * @property firstByteTarget time to first byte that 95 of 100 interactive requests shall meet
 * @property growthHold how long a larger cold-start share waits; at least the time in which a death is known to all
 * @property startHold how long a new instance waits for its first cold-start share; at least the time in which a join is known to all
 * @property rampInterval time without refusals after which a cold upstream that reports no load is given twice the limit
 */
public data class RoutingSettings(
    val firstByteTarget: Duration = Duration.ofMillis(470),
    val growthHold: Duration = Duration.ofSeconds(10),
    val startHold: Duration = Duration.ofSeconds(4),
    val rampInterval: Duration = Duration.ofSeconds(15),
)
