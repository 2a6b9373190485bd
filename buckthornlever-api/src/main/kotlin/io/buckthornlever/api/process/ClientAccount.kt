package io.buckthornlever.api.process

import kotlinx.serialization.Serializable

/**
 * A client account: a paying customer of a site, with its API key and its share of the capacity.
 *
 * @property weight share of capacity under contention, relative to the other accounts
 * @property apiKeySha256 lower-case hexadecimal SHA-256 of the account's API key
 */
@Serializable
public data class ClientAccount(
    val id: AccountId,
    val weight: Double = 1.0,
    val apiKeySha256: String,
)
