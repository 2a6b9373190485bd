package io.buckthornlever.core.process.configuration

import io.buckthornlever.api.process.ClientAccount
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.Pool
import io.buckthornlever.api.process.Route
import kotlinx.serialization.Serializable

/**
 * Response to a pull: the changes of each table that the requester lacks; null for a table that is up to date.
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
    /** True when all tables of the requester are up to date. */
    public val isEmpty: Boolean get() = routes == null && pools == null && accounts == null
}
