package io.buckthornlever.api.process

import kotlinx.serialization.Serializable

/**
 * The table of pools.
 *
 * @property revision version of the stored object that holds the table; 0 before the first one is read
 * @property domainsOut failure domains that operators have taken out of traffic; they receive no new requests
 */
@Serializable
public data class PoolTable(
    val revision: Long = 0,
    val pools: List<Pool> = emptyList(),
    val domainsOut: List<FailureDomain> = emptyList(),
)
