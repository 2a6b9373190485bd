package io.buckthornlever.bench.process

/**
 * Result of one simulated day.
 *
 * @property cost price of all instances over the day
 * @property missedPercent share of the day in which the load exceeded the capacity at the latency target
 * @property duplicates orders that took effect twice, and instances without a recorded order
 * @property repeatedCalls calls that repeated an order that had already taken effect
 */
internal data class CapacityResult(
    val cost: Double,
    val missedPercent: Double,
    val starts: Int,
    val refusals: Int,
    val duplicates: Int,
    val repeatedCalls: Int,
    val engineOrders: Int,
)
