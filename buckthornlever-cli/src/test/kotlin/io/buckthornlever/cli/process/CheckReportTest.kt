package io.buckthornlever.cli.process

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

/** Guards against a check that lets through what a daemon refuses or never uses, or that warns of what is in order. */
class CheckReportTest {
    @Test
    fun `tables in order have neither errors nor warnings`() {
        val report = check(TABLES)
        assertEquals(emptyList(), report.errors)
        assertEquals(emptyList(), report.warnings)
    }

    @Test
    fun `what a daemon refuses is an error`() {
        val report = check("""{"routes": [${route("a", "/a", """"pools": ["q"]""")}], "pools": [${pool("p")}]}""")
        assertEquals(listOf("routes[0].pools[0]: 'q' is not in the pool table"), report.errors.map { it.toString() })
    }

    @Test
    fun `pools are looked up in the tables in force if the file has none`() {
        val routes = """{"routes": [${route("a", "/a", """"pools": ["p"]""")}]}"""
        assertEquals(emptyList(), check(routes).errors, "without tables in force the pools are not known")
        assertEquals(emptyList(), check(routes, """{"pools": [${pool("p")}]}""").errors)
        assertEquals(1, check(routes, """{"pools": [${pool("q")}]}""").errors.size)
    }

    @Test
    fun `a route is hidden by those that take its requests before it`() {
        val earlier = listOf(match("get", "GET"), match("post", "POST"))
        val hidden = match("both", "GET", "POST")
        assertEquals(listOf("routes[2]: 'both' never matches: its requests go to 'get', 'post'"), warnings(earlier + hidden))
        assertEquals(emptyList(), warnings(earlier + match("put", "PUT")))
        assertEquals(emptyList(), warnings(earlier + match("any")), "a route for all methods takes the others")
    }

    @Test
    fun `a route is not hidden by one that is tried later or has another model or prefix`() {
        assertEquals(emptyList(), warnings(listOf(match("any"), match("get", "GET"))))
        assertEquals(emptyList(), warnings(listOf(match("model", "GET", model = "m"), match("get", "GET"))))
        assertEquals(emptyList(), warnings(listOf(match("any"), match("model", model = "m"))))
        assertEquals(emptyList(), warnings(listOf(match("a", "GET", prefix = "/a"), match("ab", "GET", prefix = "/ab"))))
        val sameModel = listOf(match("first", "GET", "POST", model = "m"), match("second", "GET", model = "m"))
        assertEquals(1, warnings(sameModel).size)
    }

    @Test
    fun `pools and upstreams that get no requests are named`() {
        val out = upstream("u2", "zone-b", "v1")
        val old = upstream("u3", "zone-a", "v0")
        val upstreams = "${upstream("u1", "zone-a", "v1")}, $out, $old"
        val restricted = """{"name": "p", "kind": "plain", "upstreams": [$upstreams], "failureDomains": ["zone-a"], "versions": ["v1"]}"""
        val routes = route("a", "/a", """"pools": ["p", "p"]""")
        val report = check("""{"routes": [$routes], "pools": [$restricted, ${pool("q")}]}""")
        assertEquals(
            listOf(
                "routes[0].pools[1]: 'p' is never used: it is already named before",
                "pools[1]: no route names 'q'",
                "pools[0].upstreams[1]: 'u2' gets no requests: failureDomains does not name 'zone-b'",
                "pools[0].upstreams[2]: 'u3' gets no requests: versions does not name 'v0'",
            ),
            report.warnings.map { it.toString() },
        )
    }

    @Test
    fun `a pool whose failure domains are all out is named`() {
        val report = check("""{"pools": [${pool("p")}], "domainsOut": ["zone-a"]}""")
        assertEquals(listOf("pools[0]: none of the upstreams of 'p' may get requests"), report.warnings.map { it.toString() })
    }

    @Test
    fun `a stated limit without effect is named`() {
        val shared = """"pools": ["p"], "timeoutMillis": 3000"""
        val contradicting = route("a", "/a", """$shared, "progressTimeoutMillis": 4000""")
        assertEquals(
            listOf("routes[0].progressTimeoutMillis: is 4000 and has no effect: timeoutMillis is 3000"),
            check("""{"routes": [$contradicting]}""").warnings.map { it.toString() },
        )
        assertEquals(emptyList(), check("""{"routes": [${route("a", "/a", shared)}]}""").warnings, "the default is not stated")
    }

    @Test
    fun `differences from the tables in force are listed by entry and field`() {
        val routes = "${route("b", "/b", """"pools": ["p"], "timeoutMillis": 7000""")}, ${route("c", "/c", """"pools": ["p"]""")}"
        val report = check("""{"routes": [$routes], "pools": [${pool("p")}], "domainsOut": ["zone-a"]}""", TABLES)
        assertEquals(
            listOf("- route 'a'", "+ route 'c'", "~ route 'b'.timeoutMillis: 120000 -> 7000", "+ domainsOut 'zone-a'"),
            report.changes,
        )
        assertEquals(emptyList(), check(TABLES, TABLES).changes)
        assertEquals(null, check(TABLES).changes)
    }

    @Test
    fun `another order of routes is a difference`() {
        val reversed = """{"routes": [${route("b", "/b", """"pools": ["p"]""")}, ${route("a", "/a", """"pools": ["p"]""")}]}"""
        assertEquals(listOf("~ routes: in another order"), check(reversed, TABLES).changes)
    }

    @Test
    fun `a file that contains no table or another document is refused with the exit code for invalid files`() {
        for (text in listOf("", "[]", "{}", """{"revision": 3}""", """{"route": []}""", """{"routes": [{"nam": "a"}]}""", "{\"routes\"")) {
            val failure = assertFailsWith<CommandFailure>(text) { ConfigurationTables.parse(text, "f") }
            assertEquals(ExitCode.USAGE, failure.exitCode)
            assertTrue(failure.message.orEmpty().startsWith("f: "), failure.message)
        }
    }

    @Test
    fun `the report is printed for people and for scripts`() {
        val report = check("""{"routes": [${route("a", "/a", """"pools": ["q"]""")}], "pools": [${pool("p")}]}""", TABLES)
        val text = report.toText().lines()
        assertEquals("error: routes[0].pools[0]: 'q' is not in the pool table", text.first())
        assertTrue("warning: pools[0]: no route names 'p'" in text, report.toText())
        assertEquals(setOf("errors", "warnings", "changes"), Json.parseToJsonElement(report.toJson()).jsonObject.keys)
        assertEquals("no errors, no warnings, no changes", check(TABLES, TABLES).toText())
    }

    private fun warnings(routes: List<String>): List<String> =
        check("""{"routes": [${routes.joinToString()}]}""").warnings.map { it.toString() }

    private fun check(
        proposed: String,
        inForce: String? = null,
    ): CheckReport =
        CheckReport.of(ConfigurationTables.parse(proposed, "proposed"), inForce?.let { ConfigurationTables.parse(it, "in force") })

    private fun match(
        name: String,
        vararg methods: String,
        model: String? = null,
        prefix: String = "/a",
    ): String {
        val list = methods.joinToString { "\"$it\"" }
        val conditions = """"pathPrefix": "$prefix", "methods": [$list]""" + model?.let { """, "model": "$it"""" }.orEmpty()
        return """{"name": "$name", "match": {$conditions}, "kind": "plain", "workClass": "lookup", "pools": ["p"]}"""
    }

    private companion object {
        fun route(
            name: String,
            prefix: String,
            fields: String,
        ): String = """{"name": "$name", "match": {"pathPrefix": "$prefix"}, "kind": "plain", "workClass": "lookup", $fields}"""

        fun upstream(
            id: String,
            domain: String,
            version: String,
        ): String = """{"id": "$id", "url": "http://127.0.0.1:1", "failureDomain": "$domain", "version": "$version"}"""

        fun pool(name: String): String = """{"name": "$name", "kind": "plain", "upstreams": [${upstream("u", "zone-a", "v1")}]}"""

        val TABLES =
            """{"routes": [${route(
                "a",
                "/a",
                """"pools": ["p"]""",
            )}, ${route("b", "/b", """"pools": ["p"]""")}], "pools": [${pool("p")}]}"""
    }
}
