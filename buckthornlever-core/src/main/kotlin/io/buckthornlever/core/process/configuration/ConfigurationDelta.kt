package io.buckthornlever.core.process.configuration

import io.buckthornlever.api.process.ClientAccount
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.Pool
import io.buckthornlever.api.process.Route
import kotlinx.serialization.Serializable

/**
 * Answer to a pull: what the requester lacks of each table; null for a table that it has.
 *
 * @property domainsOut failure domains out of service as of the revision of [pools]
 */
@Serializable
public data class ConfigurationDelta(
    val routes: EntryDelta<Route>? = null,
    val pools: EntryDelta<Pool>? = null,
    val domainsOut: List<FailureDomain> = emptyList(),
    val accounts: EntryDelta<ClientAccount>? = null,
) {
    /** True when the requester lacks nothing. */
    public val isEmpty: Boolean get() = routes == null && pools == null && accounts == null
}
