package io.buckthornlever.core.request

import io.buckthornlever.api.process.Route

/** Outcome of matching a request against the route table. */
public sealed interface RouteLookupResult {
    /** The route that takes the request. */
    public data class Matched(
        val route: Route,
    ) : RouteLookupResult

    /** A route takes the path and model, but not the method. */
    public data object MethodNotAllowed : RouteLookupResult

    /** No route takes the path and model. */
    public data object NoRoute : RouteLookupResult
}
