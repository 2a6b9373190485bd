package io.buckthornlever.api.process

import kotlinx.serialization.Serializable

/**
 * The table of routes.
 *
 * @property revision version of the stored object that holds the table; 0 before the first one is read
 */
@Serializable
public data class RouteTable(
    val revision: Long = 0,
    val routes: List<Route> = emptyList(),
)
