package io.buckthornlever.cli.process

import io.buckthornlever.api.process.Finding
import io.buckthornlever.api.process.Pool
import io.buckthornlever.api.process.PoolTable
import io.buckthornlever.api.process.Route
import io.buckthornlever.api.process.RouteTable
import io.buckthornlever.api.process.UpstreamSpec

/** Finds what a daemon accepts and what has no effect or contradicts itself: entries that never match, and limits. */
internal object ConfigurationReview {
    /** Returns the findings on [tables]; references to a missing table are not looked at. */
    fun check(tables: ConfigurationTables): List<Finding> =
        tables.routes?.let { hiddenRoutes(it) + repeatedPools(it) + contradictingLimits(it) }.orEmpty() +
            tables.pools?.let { unusedPools(it, tables.routes) + idleUpstreams(it) + poolsWithoutUpstream(it) }.orEmpty()

    /** Routes all of whose requests go to routes that are tried before them. */
    private fun hiddenRoutes(table: RouteTable): List<Finding> =
        table.routes.flatMapIndexed { index, route ->
            val earlier = table.routes.filterIndexed { at, other -> isTriedBefore(other, at, route, index) && takesModelsOf(other, route) }
            if (takesMethodsOf(earlier, route)) {
                val names = earlier.joinToString(", ") { "'${it.name}'" }
                listOf(Finding("routes[$index]", "'${route.name}' never matches: its requests go to $names"))
            } else {
                emptyList()
            }
        }

    /** True if a request that both routes take goes to [other], by the order of `RouteMatcher`. */
    private fun isTriedBefore(
        other: Route,
        otherIndex: Int,
        route: Route,
        index: Int,
    ): Boolean {
        if (other.match.pathPrefix != route.match.pathPrefix || otherIndex == index) return false
        return compareValuesBy(other to otherIndex, route to index, { it.first.match.model == null }, {
            it.first.match.methods.isEmpty()
        }, { it.second }) < 0
    }

    private fun takesModelsOf(
        other: Route,
        route: Route,
    ): Boolean = other.match.model == null || other.match.model == route.match.model

    private fun takesMethodsOf(
        others: List<Route>,
        route: Route,
    ): Boolean {
        if (others.any { it.match.methods.isEmpty() }) return true
        val taken = others.flatMapTo(HashSet()) { it.match.methods }
        return route.match.methods.isNotEmpty() && taken.containsAll(route.match.methods)
    }

    private fun repeatedPools(table: RouteTable): List<Finding> =
        table.routes.flatMapIndexed { index, route ->
            route.pools.withIndex().filter { (at, name) -> route.pools.indexOf(name) < at }.map { (at, name) ->
                Finding("routes[$index].pools[$at]", "'$name' is never used: it is already named before")
            }
        }

    private fun contradictingLimits(table: RouteTable): List<Finding> =
        table.routes.flatMapIndexed { index, route ->
            // A shorter timeout beside the default of the other limit is usual.
            val isStated = route.progressTimeoutMillis != Route.DEFAULT_PROGRESS_TIMEOUT_MILLIS
            if (isStated && route.progressTimeoutMillis >= route.timeoutMillis) {
                val message = "is ${route.progressTimeoutMillis} and has no effect: timeoutMillis is ${route.timeoutMillis}"
                listOf(Finding("routes[$index].progressTimeoutMillis", message))
            } else {
                emptyList()
            }
        }

    private fun unusedPools(
        table: PoolTable,
        routes: RouteTable?,
    ): List<Finding> {
        val used = routes?.routes?.flatMapTo(HashSet()) { it.pools } ?: return emptyList()
        return table.pools.withIndex().filter { it.value.name !in used }.map { (index, pool) ->
            Finding("pools[$index]", "no route names '${pool.name}'")
        }
    }

    private fun idleUpstreams(table: PoolTable): List<Finding> =
        table.pools.flatMapIndexed { index, pool ->
            pool.upstreams.mapIndexedNotNull { at, upstream ->
                exclusion(pool, upstream)?.let { Finding("pools[$index].upstreams[$at]", "'${upstream.id}' gets no requests: $it") }
            }
        }

    private fun poolsWithoutUpstream(table: PoolTable): List<Finding> =
        table.pools.withIndex().filter { (_, pool) ->
            pool.upstreams.isNotEmpty() && pool.upstreams.all { it.failureDomain in table.domainsOut || exclusion(pool, it) != null }
        }.map { (index, pool) -> Finding("pools[$index]", "none of the upstreams of '${pool.name}' may get requests") }

    private fun exclusion(
        pool: Pool,
        upstream: UpstreamSpec,
    ): String? =
        when {
            pool.failureDomains.isNotEmpty() && upstream.failureDomain !in pool.failureDomains ->
                "failureDomains does not name '${upstream.failureDomain}'"
            // A move brings versions into traffic that the list does not name yet.
            pool.move == null && pool.versions.isNotEmpty() && upstream.version !in pool.versions ->
                "versions does not name '${upstream.version}'"
            else -> null
        }
}
