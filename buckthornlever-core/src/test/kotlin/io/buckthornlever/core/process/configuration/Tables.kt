package io.buckthornlever.core.process.configuration

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.process.AccountTable
import io.buckthornlever.api.process.ClientAccount
import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.Pool
import io.buckthornlever.api.process.PoolName
import io.buckthornlever.api.process.PoolTable
import io.buckthornlever.api.process.Route
import io.buckthornlever.api.process.RouteMatch
import io.buckthornlever.api.process.RouteName
import io.buckthornlever.api.process.RouteTable
import io.buckthornlever.api.process.ServiceKind
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.api.request.WorkClass
import io.buckthornlever.api.version.VersionLabel

/** Small valid tables for tests. */
internal object Tables {
    fun upstream(id: String, domain: String = "a"): UpstreamSpec =
        UpstreamSpec(UpstreamId(id), "http://127.0.0.1:9000", FailureDomain(domain), VersionLabel("v1"))

    fun pool(name: String, price: Double = 1.0): Pool =
        Pool(PoolName(name), ServiceKind.MODEL, listOf(upstream("$name-1").copy(pricePerHour = price), upstream("$name-2", "b")))

    fun route(name: String, vararg pools: String): Route =
        Route(RouteName(name), RouteMatch("/$name"), ServiceKind.MODEL, WorkClass.INTERACTIVE, pools.map(::PoolName))

    fun account(id: String): ClientAccount = ClientAccount(AccountId(id), 1.0, "%064x".format(id.hashCode()))

    fun configuration(revision: Long, routes: List<Route> = listOf(route("r", "p")), pools: List<Pool> = listOf(pool("p"))): Configuration =
        Configuration(RouteTable(revision, routes), PoolTable(revision, pools), AccountTable(revision, listOf(account("x"))))
}
