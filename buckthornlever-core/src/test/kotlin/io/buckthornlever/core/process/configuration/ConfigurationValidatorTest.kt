package io.buckthornlever.core.process.configuration

import io.buckthornlever.api.process.AccountTable
import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.Pool
import io.buckthornlever.api.process.Route
import io.buckthornlever.api.process.ServiceKind
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.api.version.VersionLabel
import io.buckthornlever.api.version.VersionMove
import kotlin.test.Test
import kotlin.test.assertEquals

class ConfigurationValidatorTest {
    private val move = VersionMove(VersionLabel("v1"), VersionLabel("v2"), "2027-01-01T00:00:00Z", "2027-01-02T00:00:00Z")
    private val versions = listOf(VersionLabel("v1"), VersionLabel("v2"))

    @Test
    fun `valid tables have no finding`() {
        assertEquals(emptyList(), paths(Tables.configuration(1)))
        assertEquals(emptyList(), paths(withPool { it.copy(versions = versions, move = move) }))
    }

    @Test
    fun `duplicate names are found in every table`() {
        val pool = Tables.pool("p")
        val twice = pool.copy(upstreams = listOf(Tables.upstream("u"), Tables.upstream("u")))
        val tables = Tables.configuration(1, listOf(Tables.route("r", "p"), Tables.route("r", "p")), listOf(pool, twice))
        assertEquals(listOf("routes[1].name", "pools[1].name", "pools[1].upstreams[1].id", "routes[1].match"), paths(tables))
    }

    @Test
    fun `a route must name existing pools of its kind`() {
        assertEquals(listOf("routes[0].pools[0]"), paths(withRoute { Tables.route("r", "nowhere") }))
        assertEquals(listOf("routes[0].pools[0]"), paths(withRoute { it.copy(kind = ServiceKind.PLAIN) }))
        assertEquals(listOf("routes[0].pools"), paths(withRoute { it.copy(pools = emptyList()) }))
    }

    @Test
    fun `out-of-range figures of a route are found`() {
        val path = "routes[0]."
        assertEquals(listOf("${path}timeoutMillis"), paths(withRoute { it.copy(timeoutMillis = 0) }))
        assertEquals(listOf("${path}progressTimeoutMillis"), paths(withRoute { it.copy(progressTimeoutMillis = -1) }))
        assertEquals(listOf("${path}maxBodyBytes"), paths(withRoute { it.copy(maxBodyBytes = -1) }))
        assertEquals(listOf("${path}retryBudgetPercent"), paths(withRoute { it.copy(retryBudgetPercent = 101) }))
        assertEquals(listOf("${path}match.pathPrefix"), paths(withRoute { it.copy(match = it.match.copy(pathPrefix = "r")) }))
        assertEquals(listOf("${path}match.methods"), paths(withRoute { it.copy(match = it.match.copy(methods = listOf("get"))) }))
    }

    @Test
    fun `bad figures and URLs of an upstream are found`() {
        val path = "pools[0].upstreams[0]."
        listOf("ftp://h", "http://", "not a url", "http://h/", "http://h?q").forEach { url ->
            assertEquals(listOf("${path}url"), paths(withUpstream { it.copy(url = url) }), url)
        }
        assertEquals(listOf("${path}coldConcurrency"), paths(withUpstream { it.copy(coldConcurrency = 65) }))
        assertEquals(listOf("${path}pricePerHour"), paths(withUpstream { it.copy(pricePerHour = Double.NaN) }))
    }

    @Test
    fun `unknown domains and versions are found`() {
        val out = Tables.configuration(1).let { it.copy(pools = it.pools.copy(domainsOut = listOf(FailureDomain("nowhere")))) }
        assertEquals(listOf("domainsOut[0]"), paths(out))
        assertEquals(listOf("pools[0].failureDomains[0]"), paths(withPool { it.copy(failureDomains = listOf(FailureDomain("nowhere"))) }))
        assertEquals(listOf("pools[0].move.to"), paths(withPool { it.copy(move = move) }))
        assertEquals(listOf("pools[0].move.to"), paths(withPool { it.copy(versions = versions, move = move.copy(to = move.from)) }))
        assertEquals(
            listOf("pools[0].move.dueAt"),
            paths(
                withPool {
                    it.copy(versions = versions, move = move.copy(dueAt = move.startAt))
                },
            ),
        )
        assertEquals(listOf("pools[0].move.startAt"), paths(withPool { it.copy(versions = versions, move = move.copy(startAt = "soon")) }))
    }

    @Test
    fun `bad accounts are found`() {
        val good = Tables.account("x")
        val accounts = listOf(good, good.copy(id = Tables.account("y").id), Tables.account("z").copy(weight = 0.0, apiKeySha256 = "AB"))
        val tables = Tables.configuration(1).copy(accounts = AccountTable(1, accounts))
        assertEquals(listOf("accounts[1].apiKeySha256", "accounts[2].apiKeySha256", "accounts[2].weight"), paths(tables))
    }

    private fun paths(configuration: Configuration): List<String> = ConfigurationValidator().check(configuration).map { it.path }

    private fun withRoute(change: (Route) -> Route) = Tables.configuration(1, routes = listOf(change(Tables.route("r", "p"))))

    private fun withPool(change: (Pool) -> Pool) = Tables.configuration(1, pools = listOf(change(Tables.pool("p"))))

    private fun withUpstream(change: (UpstreamSpec) -> UpstreamSpec) =
        withPool { pool -> pool.copy(upstreams = listOf(change(pool.upstreams[0]), pool.upstreams[1])) }
}
