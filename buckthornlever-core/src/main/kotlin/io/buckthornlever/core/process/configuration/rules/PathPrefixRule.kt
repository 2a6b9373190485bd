package io.buckthornlever.core.process.configuration.rules

import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.Finding
import io.buckthornlever.core.process.configuration.ConfigurationRule

/** Path prefixes start with a slash, methods are in upper case, and no two routes match the same requests. */
public class PathPrefixRule : ConfigurationRule {
    override fun check(configuration: Configuration): List<Finding> {
        val routes = configuration.routes.routes
        val form = routes.flatMapIndexed { index, route ->
            val path = "routes[$index].match"
            val prefix = if (route.match.pathPrefix.startsWith("/")) null else Finding("$path.pathPrefix", "must start with '/'")
            val methods = route.match.methods.filter {
                it != it.uppercase()
            }.map { Finding("$path.methods", "'$it' must be in upper case") }
            listOfNotNull(prefix) + methods
        }
        val first = HashMap<Any, Int>()
        val same = routes.mapIndexedNotNull { index, route ->
            first.putIfAbsent(route.match, index)?.let { Finding("routes[$index].match", "is the same as that of routes[$it]") }
        }
        return form + same
    }
}
