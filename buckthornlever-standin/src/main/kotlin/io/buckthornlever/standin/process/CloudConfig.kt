package io.buckthornlever.standin.process

/**
 * Properties of a [CloudStandIn].
 *
 * @property prices prices at the start; a creation without a price is refused with 400
 * @property startMillis time from the creation of an instance until it is running, in milliseconds
 */
public data class CloudConfig(
    val prices: List<CloudPrice>,
    val startMillis: Long = 0,
)
