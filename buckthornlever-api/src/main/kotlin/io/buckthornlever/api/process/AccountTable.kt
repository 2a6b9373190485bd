package io.buckthornlever.api.process

import kotlinx.serialization.Serializable

/**
 * The table of client accounts.
 *
 * @property revision version of the stored object that holds the table; 0 before the first one is read
 */
@Serializable
public data class AccountTable(
    val revision: Long = 0,
    val accounts: List<ClientAccount> = emptyList(),
)
