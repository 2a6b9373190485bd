package io.buckthornlever.core.process.lease

/**
 * Right to issue one order now.
 *
 * @property fencing number that the order carries
 * @property notAfterNanos monotonic time by which the order must have been sent
 */
public data class LeasePermit(
    val fencing: Long,
    val notAfterNanos: Long,
)
