package io.buckthornlever.core.request

import io.buckthornlever.api.process.Route
import io.buckthornlever.api.process.RouteTable

/** Finds the route of a request: the longest matching path prefix wins, then a route that specifies the model. */
public object BasicRouteLookup {
    /** Routes that accept [method] on [path] for any model, most specific first. */
    public fun candidates(
        table: RouteTable,
        method: String,
        path: String,
    ): List<Route> =
        table.routes
            .filter { prefixMatches(it.match.pathPrefix, path) }
            .filter { it.match.methods.isEmpty() || method in it.match.methods }
            .sortedWith(compareByDescending<Route> { it.match.pathPrefix.length }.thenByDescending { it.match.model != null })

    /** The first of [candidates] that accepts [model], or null. */
    public fun forModel(
        candidates: List<Route>,
        model: String?,
    ): Route? = candidates.firstOrNull { it.match.model == null || it.match.model == model }

    private fun prefixMatches(
        prefix: String,
        path: String,
    ): Boolean {
        if (!path.startsWith(prefix)) return false
        return path.length == prefix.length || prefix.endsWith("/") || path[prefix.length] == '/'
    }
}
