package io.buckthornlever.core.request

import io.buckthornlever.api.connection.LoadReport
import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.Pool
import io.buckthornlever.api.process.PoolName
import io.buckthornlever.api.process.PoolTable
import io.buckthornlever.api.process.Route
import io.buckthornlever.api.process.RouteMatch
import io.buckthornlever.api.process.RouteName
import io.buckthornlever.api.process.ServiceKind
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.api.request.WorkClass
import io.buckthornlever.api.version.VersionLabel
import java.time.Instant

internal object Fixtures {
    val POOL = PoolName("p")

    fun spec(
        id: String,
        domain: String = "a",
        version: String = "v1",
        price: Double = 1.0,
        concurrency: Int = 8,
    ) = UpstreamSpec(
        UpstreamId(id),
        "http://127.0.0.1:1",
        FailureDomain(domain),
        VersionLabel(version),
        pricePerHour = price,
        concurrency = concurrency,
        coldConcurrency = 2,
    )

    fun route(
        work: WorkClass = WorkClass.INTERACTIVE,
        pools: List<PoolName> = listOf(POOL),
    ) = Route(RouteName("r"), RouteMatch("/"), ServiceKind.MODEL, work, pools)

    fun configuration(
        upstreams: List<UpstreamSpec>,
        out: List<String> = emptyList(),
        revision: Long = 1,
        pool: Pool = Pool(POOL, ServiceKind.MODEL),
    ) = Configuration(pools = PoolTable(revision, listOf(pool.copy(upstreams = upstreams)), out.map { FailureDomain(it) }))

    fun report(
        running: Int,
        capacity: Int,
        at: Instant,
        cold: Boolean = false,
        leaving: Boolean = false,
    ) = LoadReport(running, 0, capacity, cold, leaving, at.toString())
}
