package io.buckthornlever.core.request

import io.buckthornlever.api.process.Route
import io.buckthornlever.api.process.RouteTable

/**
 * Finds the route of a request. The longest path prefix wins; with equal prefixes a route that names the model wins over
 * one that takes any, then one that names methods, then the earlier one in the table.
 */
public class RouteMatcher(
    table: RouteTable,
) {
    private val byPrefix: Map<String, List<RouteLookup.Matched>> =
        table.routes
            .sortedWith(compareBy({ it.match.model == null }, { it.match.methods.isEmpty() }))
            .groupBy({ it.match.pathPrefix }, { RouteLookup.Matched(it) })

    private val lengths: IntArray =
        byPrefix.keys
            .map { it.length }
            .distinct()
            .sortedDescending()
            .toIntArray()

    /** Looks up the route for [path] (without query string), the body's [model] and the HTTP [method]. */
    public fun match(
        path: String,
        model: String?,
        method: String,
    ): RouteLookup {
        var otherMethod = false
        for (length in lengths) {
            if (length > path.length) continue
            val routes = byPrefix[path.substring(0, length)] ?: continue
            for (found in routes) {
                if (!takesModel(found.route, model)) continue
                if (takesMethod(found.route, method)) return found
                otherMethod = true
            }
        }
        return if (otherMethod) RouteLookup.MethodNotAllowed else RouteLookup.NoRoute
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
