package io.buckthornlever.core.request

import io.buckthornlever.api.process.Route
import io.buckthornlever.api.process.RouteTable

/**
 * Finds the route of a request. The longest path prefix wins. Among equal prefixes, a route that specifies the model wins, then
 * one that specifies methods, then the one listed first.
 */
public class RouteMatcher(
    table: RouteTable,
) {
    private val byPrefix: Map<String, List<RouteLookupResult.Matched>> =
        table.routes
            .sortedWith(compareBy({ it.match.model == null }, { it.match.methods.isEmpty() }))
            .groupBy({ it.match.pathPrefix }, { RouteLookupResult.Matched(it) })

    private val prefixLengths: IntArray =
        byPrefix.keys
            .map { it.length }
            .distinct()
            .sortedDescending()
            .toIntArray()

    /** Finds the route for [path] (without query string), the [model] named in the request body and the HTTP [method]. */
    public fun match(
        path: String,
        model: String?,
        method: String,
    ): RouteLookupResult {
        var methodMismatch = false
        for (length in prefixLengths) {
            if (length > path.length) continue
            val routes = byPrefix[path.substring(0, length)] ?: continue
            for (found in routes) {
                if (!takesModel(found.route, model)) continue
                if (takesMethod(found.route, method)) return found
                methodMismatch = true
            }
        }
        return if (methodMismatch) RouteLookupResult.MethodNotAllowed else RouteLookupResult.NoRoute
    }

    private fun takesModel(
        route: Route,
        model: String?,
    ): Boolean = route.match.model == null || route.match.model == model

    private fun takesMethod(
        route: Route,
        method: String,
    ): Boolean = route.match.methods.isEmpty() || method in route.match.methods
}
