package io.buckthornlever.core.request

import io.buckthornlever.api.process.Route

/** Outcome of matching a request against the route table. */
public sealed interface RouteLookup {
    /** The route that takes the request. */
    public data class Matched(
        val route: Route,
    ) : RouteLookup

    /** A route takes the path and model, but not the method. */
    public data object MethodNotAllowed : RouteLookup

    /** No route takes the path and model. */
    public data object NoRoute : RouteLookup
}
