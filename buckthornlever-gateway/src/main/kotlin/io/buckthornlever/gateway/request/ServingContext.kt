package io.buckthornlever.gateway.request

import io.buckthornlever.api.process.Clock
import io.buckthornlever.core.serving.ServiceRetryBudget
import io.buckthornlever.core.serving.ServingTableCache
import io.buckthornlever.core.serving.UpstreamBalancer
import io.buckthornlever.core.version.VersionOrders
import io.buckthornlever.gateway.connection.ConnectionPool
import io.buckthornlever.gateway.process.EventLog
import io.buckthornlever.gateway.process.GatewayMetrics
import io.buckthornlever.gateway.process.QuotaCharger
import io.netty.channel.EventLoop

/** State shared by all requests of the process; accessed only on the thread of [loop]. */
internal class ServingContext(
    val loop: EventLoop,
    val clock: Clock,
    val protocol: CallerProtocol,
    val tableCache: ServingTableCache,
    val balancer: UpstreamBalancer,
    val quotas: QuotaCharger,
    val retryBudget: ServiceRetryBudget,
    guards: RequestGuards,
    val counters: TrafficCounters,
    val pool: ConnectionPool,
    val log: EventLog,
    val metrics: GatewayMetrics,
    val versionOrders: VersionOrders,
) {
    val poison: PoisonGuard = guards.poison
    val overload: OverloadControl = guards.overload
    val queues: PlacementQueues = PlacementQueues(this)
    val loadChecker: LoadChecker = LoadChecker(this)
}
