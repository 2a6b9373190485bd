package io.buckthornlever.core.process.lease

import java.time.Duration

/**
 * Times of a lease.
 *
 * @property ttl time from a write after which the lease expires unless it is renewed
 * @property renewInterval interval between renewals
 * @property readInterval interval between reads of instances that do not hold the lease
 * @property callTimeout silence after which the outcome of a store call counts as unknown
 * @property clockErrorBound largest difference of two monotonic clocks over [ttl]
 * @property maxOrderDuration longest time from the permit for an order to its end at the engine
 */
public data class LeaseSettings(
    val ttl: Duration = Duration.ofSeconds(10),
    val renewInterval: Duration = Duration.ofSeconds(3),
    val readInterval: Duration = Duration.ofSeconds(2),
    val callTimeout: Duration = Duration.ofSeconds(2),
    val clockErrorBound: Duration = Duration.ofMillis(500),
    val maxOrderDuration: Duration = Duration.ofSeconds(5),
)
