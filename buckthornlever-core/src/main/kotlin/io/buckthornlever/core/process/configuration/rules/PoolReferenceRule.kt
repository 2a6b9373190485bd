package io.buckthornlever.core.process.configuration.rules

import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.Finding
import io.buckthornlever.api.process.Pool
import io.buckthornlever.api.process.Route
import io.buckthornlever.core.process.configuration.ConfigurationRule

/** A route names at least one pool, and each named pool exists and has the route's kind. */
public class PoolReferenceRule : ConfigurationRule {
    override fun check(configuration: Configuration): List<Finding> {
        val pools = configuration.pools.pools.associateBy { it.name }
        return configuration.routes.routes.flatMapIndexed { index, route ->
            val path = "routes[$index].pools"
            if (route.pools.isEmpty()) {
                listOf(Finding(path, "is empty; name at least one pool"))
            } else {
                route.pools.mapIndexedNotNull { at, name -> problem(route, pools[name])?.let { Finding("$path[$at]", "'$name' $it") } }
            }
        }
    }

    private fun problem(route: Route, pool: Pool?): String? =
        when {
            pool == null -> "is not in the pool table"
            pool.kind != route.kind -> "is of kind ${pool.kind}, but the route is of kind ${route.kind}"
            else -> null
        }
}
