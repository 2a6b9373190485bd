package io.buckthornlever.core.request

import io.buckthornlever.api.process.Route

/** Result of matching a request against the route table. */
public sealed interface RouteLookupResult {
    /** [route] accepts the request. */
    public data class Matched(
        val route: Route,
    ) : RouteLookupResult

    /** A route accepts the path and model, but not the method. */
    public data object MethodNotAllowed : RouteLookupResult

    /** No route accepts the path and model. */
    public data object NoRoute : RouteLookupResult
}
