package io.buckthornlever.api.process

import kotlinx.serialization.Serializable

/** The configuration in effect on an entry instance: three tables, each with its own revision. */
@Serializable
public data class Configuration(
    val routes: RouteTable = RouteTable(),
    val pools: PoolTable = PoolTable(),
    val accounts: AccountTable = AccountTable(),
) {
    /** Combines the newer revision of each table; commutative, associative and idempotent. */
    public fun merge(other: Configuration): Configuration =
        Configuration(
            routes = if (other.routes.revision > routes.revision) other.routes else routes,
            pools = if (other.pools.revision > pools.revision) other.pools else pools,
            accounts = if (other.accounts.revision > accounts.revision) other.accounts else accounts,
        )
}
