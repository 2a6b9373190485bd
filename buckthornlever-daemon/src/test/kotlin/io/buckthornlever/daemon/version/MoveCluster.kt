package io.buckthornlever.daemon.version

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.process.AccountTable
import io.buckthornlever.api.process.ClientAccount
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.ObjectKey
import io.buckthornlever.api.process.PlatformInstance
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
import io.buckthornlever.api.version.VersionMove
import io.buckthornlever.core.process.TableCodec
import io.buckthornlever.daemon.process.Daemon
import io.buckthornlever.daemon.process.DaemonHarness
import io.buckthornlever.daemon.process.Settings
import io.buckthornlever.standin.process.InstanceListStandIn
import io.buckthornlever.standin.process.ObjectStoreStandIn
import io.buckthornlever.standin.process.PlainServiceConfig
import io.buckthornlever.standin.process.PlainServiceStandIn
import okhttp3.OkHttpClient
import okhttp3.Request
import java.nio.file.Files
import java.security.MessageDigest
import java.time.Duration
import java.time.Instant
import java.util.HexFormat
import kotlin.concurrent.thread

/** Three daemons and two pools; each pool has two services of the old and two of the new version in two failure domains. */
internal class MoveCluster : AutoCloseable {
    private val directory = Files.createTempDirectory("move-test")
    val store = ObjectStoreStandIn().start()
    private val list = InstanceListStandIn().start()
    val services = POOLS.associateWith {
        List(4) { i ->
            PlainServiceStandIn(
                PlainServiceConfig(
                    version = if (i <
                        2
                    ) {
                        "v1"
                    } else {
                        "v2"
                    },
                ),
            ).start().also { it.faults.delayMillis = SERVICE_MILLIS }
        }
    }
    private val daemons = List(3) { Daemon(settings("e$it")) }
    private val http = OkHttpClient()
    private var callers = emptyList<Thread>()

    @Volatile
    private var closed = false

    /** Starts the daemons, waits until they are ready and see each other, and starts [CALLERS] per daemon and pool. */
    fun start(): MoveCluster {
        val hash = HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(DaemonHarness.API_KEY.toByteArray()))
        store.put(ObjectKey.ACCOUNTS.value, TableCodec.encode(AccountTable(accounts = listOf(ClientAccount(AccountId("a"), 1.0, hash)))))
        store.put(ObjectKey.ROUTES.value, TableCodec.encode(RouteTable(routes = POOLS.map(::route))))
        putPools(null)
        daemons.forEachIndexed { i, daemon ->
            daemon.start()
            list.put(PlatformInstance(InstanceId("e$i"), "127.0.0.1", daemon.peerPort, DOMAINS[i % 2], "entry"))
        }
        DaemonHarness.await {
            daemons.all {
                it.isReady() && it.control.liveMembers.size == 3 &&
                    it.effectiveConfiguration.accounts.revision > 0
            }
        }
        callers =
            List(CALLERS) { POOLS.flatMap { pool -> daemons.map { thread(isDaemon = true) { while (!closed) call(it, pool) } } } }.flatten()
        return this
    }

    fun putPools(
        length: Duration?,
        out: List<FailureDomain> = emptyList(),
    ) {
        val start = Instant.now()
        val move = length?.let { VersionMove(VersionLabel("v1"), VersionLabel("v2"), start.toString(), start.plus(it).toString(), 10) }
        val pools = POOLS.map { name -> Pool(PoolName(name), ServiceKind.PLAIN, specs(name), move = move) }
        store.put(ObjectKey.POOLS.value, TableCodec.encode(PoolTable(pools = pools, domainsOut = out)))
    }

    /** Number of executions on the two services with the new version of [pool]. */
    fun onNew(pool: String): Int = services.getValue(pool).drop(2).sumOf { it.records.executions.size }

    /** Number of requests received in [domain] over all pools. */
    fun inDomain(
        domain: Int,
    ): Int = services.values.sumOf { all -> all.filterIndexed { i, _ -> i % 2 == domain }.sumOf { it.records.received } }

    override fun close() {
        closed = true
        callers.forEach { it.join(5_000) }
        daemons.parallelStream().forEach { it.close() }
        services.values.flatten().forEach { it.close() }
        list.close()
        store.close()
        Files.walk(directory).sorted(Comparator.reverseOrder()).forEach(Files::delete)
    }

    private fun call(
        daemon: Daemon,
        pool: String,
    ) {
        val request = Request.Builder().url(
            "${daemon.callerUrl}/$pool/1",
        ).header("Authorization", "Bearer ${DaemonHarness.API_KEY}").build()
        runCatching { http.newCall(request).execute().close() }
    }

    private fun specs(pool: String): List<UpstreamSpec> =
        services.getValue(pool).mapIndexed { i, service ->
            UpstreamSpec(UpstreamId("$pool-$i"), service.url, DOMAINS[i % 2], VersionLabel(service.config.version))
        }

    private fun route(pool: String): Route =
        Route(RouteName(pool), RouteMatch("/$pool", methods = listOf("GET")), ServiceKind.PLAIN, WorkClass.LOOKUP, listOf(PoolName(pool)))

    private fun settings(id: String): Settings =
        Settings(
            site = "test",
            instance = Settings.InstanceSettings(InstanceId(id), DOMAINS[0]),
            listen = Settings.ListenSettings(),
            platform = Settings.PlatformSettings(store.url, list.url),
            keys = Settings.KeySettings(file("token", DaemonHarness.TOKEN), file("peer", "0123456789abcdef0123456789abcdef")),
            shutdownGrace = Duration.ofSeconds(1),
        )

    private fun file(
        name: String,
        text: String,
    ): String = directory.resolve(name).also { Files.writeString(it, text) }.toString()

    companion object {
        const val GOOD = "schedules"
        const val BAD = "rosters"
        val POOLS = listOf(GOOD, BAD)
        val DOMAINS = listOf(FailureDomain("zone-a"), FailureDomain("zone-b"))

        /**
         * A daemon sends all requests of one caller to the first of equally loaded services. With two callers and services that take
         * some time, the second service has less load than the first whenever the first runs a request.
         */
        private const val CALLERS = 2
        private const val SERVICE_MILLIS = 3L
    }
}
