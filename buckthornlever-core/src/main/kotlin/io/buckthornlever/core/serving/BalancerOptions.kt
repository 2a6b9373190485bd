package io.buckthornlever.core.serving

/**
 * Behaviour of an [UpstreamBalancer] that an operator may switch off.
 *
 * @property usesExpectedTimes upstreams are chosen among a few candidates by the expected time to the first event; otherwise among
 * all by prompt tokens and load with fixed weights
 * @property checksLoads candidates are asked for their load before a stream is placed, where upstreams state a slowdown
 */
public data class BalancerOptions(
    val usesExpectedTimes: Boolean = true,
    val checksLoads: Boolean = true,
)
