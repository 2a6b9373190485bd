package io.buckthornlever.standin.process

/**
 * Price of one kind of instance in one failure domain.
 *
 * @property kind `reclaimable` or `on-demand`
 * @property pricePerHour price in the site's currency
 */
public data class CloudPrice(
    val failureDomain: String,
    val machineClass: String,
    val kind: String,
    val pricePerHour: Double,
)
