package io.buckthornlever.core.process.membership

import io.buckthornlever.api.process.Configuration
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** Revisions of the three tables that are in effect on an instance; 0 for a table that it does not have yet. */
@Serializable
@CborArray
public data class TableRevisions(
    val routes: Long = 0,
    val pools: Long = 0,
    val accounts: Long = 0,
) {
    /** True when at least one table of [other] is newer. */
    public fun isBehind(other: TableRevisions): Boolean =
        routes < other.routes || pools < other.pools || accounts < other.accounts

    /** Maximum per table. */
    public fun merge(other: TableRevisions): TableRevisions =
        TableRevisions(maxOf(routes, other.routes), maxOf(pools, other.pools), maxOf(accounts, other.accounts))

    public companion object {
        /** Revisions of [configuration]. */
        public fun of(configuration: Configuration): TableRevisions =
            TableRevisions(configuration.routes.revision, configuration.pools.revision, configuration.accounts.revision)
    }
}
