package io.buckthornlever.core.process

/**
 * An offer with its current price.
 *
 * @property capacity requests at once that an instance of the class bears at the latency target
 */
public data class InstanceOffer(
    val key: OfferKey,
    val capacity: Int,
    val pricePerHour: Double,
) {
    /** Price of one place for an hour. */
    public val pricePerCapacity: Double get() = pricePerHour / capacity
}
