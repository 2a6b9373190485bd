package io.buckthornlever.core.request

import io.buckthornlever.api.process.PoolName
import io.buckthornlever.api.process.Route
import io.buckthornlever.api.process.RouteMatch
import io.buckthornlever.api.process.RouteName
import io.buckthornlever.api.process.RouteTable
import io.buckthornlever.api.process.ServiceKind
import io.buckthornlever.api.request.WorkClass
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import kotlin.test.Test
import kotlin.test.assertEquals

class RouteMatcherTest {
    @Test
    fun `a method that no route accepts is distinguished from an unknown path`() {
        val matcher = RouteMatcher(RouteTable(1, listOf(route(0, RouteMatch("/v1", null, listOf("POST"))))))
        assertEquals(RouteLookupResult.MethodNotAllowed, matcher.match("/v1/x", null, "GET"))
        assertEquals(RouteLookupResult.NoRoute, matcher.match("/v2", null, "POST"))
    }

    /** Guards against an index that disagrees with a scan of the whole table. */
    @Property(seed = "11", tries = 500)
    fun `agrees with a scan of the table`(
        @ForAll("matches") matches: List<RouteMatch>,
        @ForAll("paths") path: String,
        @ForAll("models") model: String?,
        @ForAll("methods") method: String,
    ) {
        val routes = matches.mapIndexed { index, match -> route(index, match) }
        val expected =
            routes
                .filter { path.startsWith(it.match.pathPrefix) }
                .filter { it.match.model == null || it.match.model == model }
                .filter { it.match.methods.isEmpty() || method in it.match.methods }
                .maxWithOrNull(
                    compareBy<Route>({ it.match.pathPrefix.length }, { it.match.model != null }, { it.match.methods.isNotEmpty() })
                        .thenByDescending { routes.indexOf(it) },
                )
        val actual = RouteMatcher(RouteTable(1, routes)).match(path, model, method)
        assertEquals(expected, (actual as? RouteLookupResult.Matched)?.route)
    }

    @Provide
    fun matches(): Arbitrary<List<RouteMatch>> =
        Combinators
            .combine(paths(), models(), Arbitraries.of(emptyList(), listOf("GET"), listOf("POST", "PUT")))
            .`as` { path, model, methods -> RouteMatch(path, model, methods) }
            .list()
            .ofMaxSize(8)

    @Provide
    fun paths(): Arbitrary<String> = Arbitraries.of("/", "/v1", "/v1/", "/v1/chat", "/v1/chat/completions", "/v2", "/v1/ch")

    @Provide
    fun models(): Arbitrary<String?> = Arbitraries.of("course", "draft").injectNull(0.3)

    @Provide
    fun methods(): Arbitrary<String> = Arbitraries.of("GET", "POST", "DELETE")

    private fun route(
        index: Int,
        match: RouteMatch,
    ) = Route(RouteName("r$index"), match, ServiceKind.PLAIN, WorkClass.LOOKUP, listOf(PoolName("p")))
}
