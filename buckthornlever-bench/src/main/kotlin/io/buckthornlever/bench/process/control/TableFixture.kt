package io.buckthornlever.bench.process.control

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.AccountTable
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

/** Tables of a given number of upstreams, and changes of one entry. */
internal object TableFixture {
    private const val UPSTREAMS_PER_POOL = 20
    private const val DOMAINS = 18

    fun configuration(upstreams: Int, revision: Long): Configuration {
        val pools = List(maxOf(1, upstreams / UPSTREAMS_PER_POOL)) { pool(it, 1.0) }
        val routes = pools.mapIndexed { index, pool ->
            Route(RouteName("route-$index"), RouteMatch("/r$index"), ServiceKind.MODEL, WorkClass.INTERACTIVE, listOf(pool.name))
        }
        return Configuration(RouteTable(revision, routes), PoolTable(revision, pools), AccountTable(revision))
    }

    /** Another price in one pool, chosen by [revision]. */
    fun changed(tables: Configuration, revision: Long): Configuration {
        val index = (revision % tables.pools.pools.size).toInt()
        val pools = tables.pools.pools.toMutableList()
        pools[index] = pool(index, 1.0 + revision)
        return tables.copy(pools = tables.pools.copy(revision = revision, pools = pools))
    }

    private fun pool(index: Int, price: Double): Pool =
        Pool(
            PoolName("pool-$index"),
            ServiceKind.MODEL,
            List(UPSTREAMS_PER_POOL) {
                val number = index * UPSTREAMS_PER_POOL + it
                UpstreamSpec(
                    UpstreamId("upstream-$number"),
                    "http://10.${number / 65_536}.${number / 256 % 256}.${number % 256}:8000",
                    FailureDomain("zone-%02d".format(number % DOMAINS)),
                    VersionLabel("v1"),
                    pricePerHour = price,
                )
            },
        )
}
