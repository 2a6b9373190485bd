package io.buckthornlever.core.serving

import java.time.Duration

/**
 * What the number of engines of a service follows.
 *
 * @property tokensPerSecond prompt tokens per second that engines have to read: those of requests within the quotas of their accounts,
 * without the parts that engines hold
 * @property engineTokensPerSecond prompt tokens per second that an engine reads as far as it is learned; null as long as it is not
 * @property load mean wait before a new prompt is read
 * @property bearableWait wait that the most urgent route of the service bears within its target latency
 * @property isComplete false while the demand of some live instances is not known
 */
public data class EngineDemand(
    val tokensPerSecond: Double,
    val engineTokensPerSecond: Double?,
    val load: ServiceLoad,
    val bearableWait: Duration,
    val isComplete: Boolean,
)
