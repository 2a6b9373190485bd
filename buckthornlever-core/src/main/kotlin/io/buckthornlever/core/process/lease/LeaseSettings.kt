package io.buckthornlever.core.process.lease

import java.time.Duration

/**
 * Durations that govern a lease.
 *
 * @property ttl time from a write after which the lease expires unless it is renewed
 * @property renewEvery interval between renewals
 * @property readEvery interval between reads of instances that do not hold the lease
 * @property callTimeout time without a response after which the outcome of a store call counts as unknown
 * @property clockErrorBound largest difference between two monotonic clocks over one [ttl]
 * @property longestOrder longest time from the permit for an order until the order ends at the engine
 */
public data class LeaseSettings(
    val ttl: Duration = Duration.ofSeconds(10),
    val renewEvery: Duration = Duration.ofSeconds(3),
    val readEvery: Duration = Duration.ofSeconds(2),
    val callTimeout: Duration = Duration.ofSeconds(2),
    val clockErrorBound: Duration = Duration.ofMillis(500),
    val longestOrder: Duration = Duration.ofSeconds(5),
)
