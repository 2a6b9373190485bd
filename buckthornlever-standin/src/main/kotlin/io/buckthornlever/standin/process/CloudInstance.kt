package io.buckthornlever.standin.process

import java.time.Instant

/**
 * An instance of the cloud stand-in.
 *
 * @property requestId identity of the request that created it
 * @property kind `reclaimable` or `on-demand`
 * @property pricePerHour price when it was created
 * @property readyAt when it has started
 * @property endsAt when it ended or will end; null while no end is known
 * @property address address that the experiment has assigned, if any
 */
public data class CloudInstance(
    val id: String,
    val requestId: String,
    val failureDomain: String,
    val machineClass: String,
    val kind: String,
    val pricePerHour: Double,
    val createdAt: Instant,
    val readyAt: Instant,
    val endsAt: Instant? = null,
    val address: String? = null,
) {
    /** True when the end of the instance has passed at [now]. */
    public fun hasEnded(now: Instant): Boolean = endsAt != null && !now.isBefore(endsAt)
}
