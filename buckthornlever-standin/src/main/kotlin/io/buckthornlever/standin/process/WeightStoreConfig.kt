package io.buckthornlever.standin.process

/**
 * Properties of a [WeightStoreStandIn].
 *
 * @property readsPerSecond downloads per second; more are refused with 429
 * @property bytes size of each download, in bytes
 */
public data class WeightStoreConfig(
    val readsPerSecond: Int = 10,
    val bytes: Int = 65_536,
)
