package io.buckthornlever.core.request

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.PoolTable
import io.buckthornlever.api.process.Route

/**
 * Input of an upstream selection.
 *
 * @property prompt text whose prefix may be cached on an upstream; empty for plain services
 * @property excluded upstreams at which this request has already failed
 */
public data class SelectionQuery(
    val route: Route,
    val pools: PoolTable,
    val prompt: String = "",
    val excluded: Set<UpstreamId> = emptySet(),
)
