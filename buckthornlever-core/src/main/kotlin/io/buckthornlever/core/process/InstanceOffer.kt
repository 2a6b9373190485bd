package io.buckthornlever.core.process

/**
 * An offer of the cloud to start instances of one class, with its current price.
 *
 * @property capacity concurrent requests that an instance of the class can run within the latency target
 */
public data class InstanceOffer(
    val key: OfferKey,
    val capacity: Int,
    val pricePerHour: Double,
) {
    /** Price per hour and unit of [capacity]. */
    public val pricePerCapacity: Double get() = pricePerHour / capacity
}
