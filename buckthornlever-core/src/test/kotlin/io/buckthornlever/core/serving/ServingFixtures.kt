package io.buckthornlever.core.serving

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.serving.DiscoveredUpstream
import io.buckthornlever.api.serving.RequestKind
import io.buckthornlever.api.serving.ServedRoute
import io.buckthornlever.api.serving.ServedService
import io.buckthornlever.api.serving.ServingTable
import io.buckthornlever.api.serving.WeightedService
import io.buckthornlever.api.version.VersionLabel
import java.time.Duration

/** Test data shared by the tests of this package. */
internal object ServingFixtures {
    fun route(
        kind: RequestKind,
        resumable: Boolean = false,
        maxAttempts: Int = 2,
    ): ServedRoute =
        ServedRoute(
            name = "r",
            host = "h",
            pathPrefix = "/p/",
            kind = kind,
            timeout = Duration.ofSeconds(1),
            targetLatency = Duration.ofMillis(100),
            longestPause = null,
            priority = 0,
            services = listOf(WeightedService("s", 1)),
            maxAttempts = maxAttempts,
            public = false,
            resumable = resumable,
        )

    fun stream(
        name: String,
        priority: Int,
        targetMillis: Long,
        timeoutMillis: Long,
    ): ServedRoute =
        route(RequestKind.STREAM).copy(
            name = name,
            priority = priority,
            targetLatency = Duration.ofMillis(targetMillis),
            timeout = Duration.ofMillis(timeoutMillis),
        )

    fun table(coldRequestsPerSecond: Double = 0.0): ServingTable =
        ServingTable(1, emptyList(), listOf(ServedService("s", "/health", 100, coldRequestsPerSecond, true, null)), emptyList())

    fun upstream(
        id: String,
        domain: String = "a",
        slots: Int = 4,
        leaving: Boolean = false,
        coldFor: Duration = Duration.ZERO,
        reclaimable: Boolean = false,
    ): DiscoveredUpstream =
        DiscoveredUpstream(
            UpstreamId(id),
            "s",
            "10.0.0.1",
            80,
            FailureDomain(domain),
            VersionLabel("v1"),
            slots,
            leaving,
            coldFor,
            reclaimable,
        )
}
