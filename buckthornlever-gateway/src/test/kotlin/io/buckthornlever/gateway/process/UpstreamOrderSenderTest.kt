package io.buckthornlever.gateway.process

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.serving.DiscoveredUpstream
import io.buckthornlever.api.serving.DutyOutcome
import io.buckthornlever.api.serving.QuotaUnit
import io.buckthornlever.api.serving.RequestKind
import io.buckthornlever.api.serving.ScalingLimits
import io.buckthornlever.api.serving.ServedAccount
import io.buckthornlever.api.serving.ServedRoute
import io.buckthornlever.api.serving.ServedService
import io.buckthornlever.api.serving.ServingTable
import io.buckthornlever.api.serving.SingletonDuties
import io.buckthornlever.api.serving.UpstreamOrder
import io.buckthornlever.api.serving.UsageWindow
import io.buckthornlever.api.serving.WeightedService
import io.buckthornlever.api.version.VersionLabel
import io.buckthornlever.core.serving.DemandMeter
import io.buckthornlever.core.serving.QuotaBounds
import io.buckthornlever.core.serving.TableAgeLimits
import io.buckthornlever.core.serving.UpstreamBalancer
import io.buckthornlever.gateway.connection.ServerAddress
import java.time.Duration
import java.time.Instant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against orders by the learned capacity on sites that are ordered by the tokens requested. */
class UpstreamOrderSenderTest {
    private var nanos = 0L
    private val clock =
        object : Clock {
            override fun now(): Instant = Instant.EPOCH.plusNanos(nanos)

            override fun monotonicNanos(): Long = nanos
        }

    @Test
    fun `engines that state their load are ordered by their learned capacity where accounts have quotas`() {
        val usual = ordered(Site(isEnabled = false)).sumOf { it.count }
        val learned = ordered(Site()).sumOf { it.count }
        assertTrue(learned < usual, "$learned instead of $usual")
    }

    @Test
    fun `other sites are ordered as without the feature`() {
        val usual = ordered(Site(isEnabled = false))
        assertEquals(usual, ordered(Site(statesLoad = false)))
        assertEquals(usual, ordered(Site(ratePerSecond = 0.0)))
        assertEquals(usual, ordered(Site(priorities = listOf(0, 0))))
        assertEquals(ordered(Site(isEnabled = false, engine = false)), ordered(Site(engine = false)))
    }

    /** Orders of a site with nine on-demand upstreams, the last one for each failure domain and kind. */
    private fun ordered(site: Site): Set<UpstreamOrder> {
        nanos = 0
        val balancer = UpstreamBalancer(InstanceId("i"), DOMAINS.first(), clock)
        val demand = DemandMeter()
        val orders = LinkedHashMap<Pair<FailureDomain, Boolean>, UpstreamOrder>()
        val duties =
            object : SingletonDuties {
                override fun reportUsage(
                    holder: String,
                    fencing: Long,
                    window: UsageWindow,
                    done: (DutyOutcome) -> Unit,
                ) = Unit

                override fun orderUpstreams(
                    holder: String,
                    fencing: Long,
                    order: UpstreamOrder,
                    done: (DutyOutcome) -> Unit,
                ) {
                    orders[order.domain to order.reclaimable] = order
                    done(DutyOutcome.ACCEPTED)
                }
            }
        val sender = UpstreamOrderSender(site.settings(), clock, duties, balancer, demand, { null }, EventLog("i"), {}, { emptySet() })
        for (index in 0 until 9) balancer.onRegistered(upstream(index), 0)
        // Three quarters of each prompt are held by the upstreams.
        repeat(300) { balancer.onRequestSent(balancer.upstreams.first(), 1_000, 0, promptTokens = 4_000) }
        balancer.onPromptRead(balancer.upstreams.first(), 300_000)
        repeat(100) {
            nanos += Duration.ofMillis(200).toNanos()
            demand.onRequest("s", 60_000, nanos)
            if (site.statesLoad) balancer.upstreams.forEach { balancer.onLoadReported(it, 1, 0, nanos) }
            sender.tick(site.table(), 1)
        }
        return orders.values.toSet()
    }

    private fun upstream(index: Int) =
        DiscoveredUpstream(
            UpstreamId("u$index"),
            "s",
            "10.0.0.1",
            80,
            DOMAINS[index % DOMAINS.size],
            VersionLabel("v1"),
            64,
            false,
            Duration.ZERO,
            false,
        )

    private class Site(
        private val isEnabled: Boolean = true,
        val statesLoad: Boolean = true,
        private val ratePerSecond: Double = 1_000_000.0,
        private val priorities: List<Int> = listOf(0, 2),
        private val engine: Boolean = true,
    ) {
        fun settings(): GatewaySettings {
            val loopback = ServerAddress("127.0.0.1", 0)
            return GatewaySettings(
                instance = "i",
                domain = DOMAINS.first(),
                domains = DOMAINS,
                callerAddress = loopback,
                probeAddress = loopback,
                peerAddress = loopback,
                linkMegabits = 0.0,
                tableAgeLimits = TableAgeLimits.of(Duration.ofSeconds(2), Duration.ofSeconds(5)),
                quota = QuotaBounds(),
                retryRatio = 0.2,
                retryWindow = Duration.ofSeconds(10),
                retrySlack = 50.0,
                unprovedVersionPercent = 8,
                leaseTtl = Duration.ofSeconds(3),
                usageWindow = null,
                firstStart = true,
                grace = Duration.ofSeconds(8),
                disabledFeatures = if (isEnabled) emptySet() else setOf(Feature.LEARNED_CAPACITY),
            )
        }

        fun table(): ServingTable {
            val limits = ScalingLimits(1, 20, Duration.ofSeconds(4), 0.18, DOMAINS.associateWith { 1.0 })
            val account = ServedAccount(AccountId("a"), setOf("k"), null, QuotaUnit.TOKENS, 1, ratePerSecond, 0.0)
            val service = ServedService("s", "/health", 100, 0.0, engine, limits)
            return ServingTable(1, priorities.mapIndexed(::route), listOf(service), listOf(account))
        }

        private fun route(
            index: Int,
            priority: Int,
        ) = ServedRoute(
            name = "r$index",
            host = "h",
            pathPrefix = "/$index/",
            kind = RequestKind.STREAM,
            timeout = Duration.ofSeconds(3),
            targetLatency = Duration.ofSeconds(1),
            longestPause = null,
            priority = priority,
            services = listOf(WeightedService("s", 1)),
            maxAttempts = 2,
            public = false,
            resumable = true,
        )
    }

    private companion object {
        val DOMAINS = listOf("a", "b", "c").map(::FailureDomain)
    }
}
