package io.buckthornlever.core.version

import java.time.Instant

/**
 * The lease for version moves, as held by this instance.
 *
 * @property fencing fencing token of the lease
 * @property expiresAt end of the lease, with the maximum clock error already subtracted
 */
public data class HeldLease(
    val fencing: Long,
    val expiresAt: Instant,
)
