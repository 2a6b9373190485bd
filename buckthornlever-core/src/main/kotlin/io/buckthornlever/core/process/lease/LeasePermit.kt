package io.buckthornlever.core.process.lease

/**
 * Permission to send one order.
 *
 * @property fencing fencing token that the order carries
 * @property notAfterNanos monotonic time by which the order must have been sent
 */
public data class LeasePermit(
    val fencing: Long,
    val notAfterNanos: Long,
)
