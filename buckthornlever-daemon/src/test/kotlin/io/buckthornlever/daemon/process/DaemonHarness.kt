package io.buckthornlever.daemon.process

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.process.AccountTable
import io.buckthornlever.api.process.ClientAccount
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.ObjectKey
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
import io.buckthornlever.core.process.TableCodec
import io.buckthornlever.standin.process.EngineStandIn
import io.buckthornlever.standin.process.InstanceListStandIn
import io.buckthornlever.standin.process.ObjectStoreStandIn
import io.buckthornlever.standin.process.PlainServiceStandIn
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import java.nio.file.Files
import java.security.MessageDigest
import java.util.HexFormat

/**
 * One daemon with model engines, two plain services, an instance list and an object store.
 *
 * @param engineUrl if given, the only engine that the daemon knows
 * @param serviceUrl if given, the only plain service that the daemon knows
 */
internal class DaemonHarness(
    engineCount: Int = 2,
    private val engineUrl: String? = null,
    private val serviceUrl: String? = null,
) : AutoCloseable {
    private val directory = Files.createTempDirectory("daemon-test")
    val store = ObjectStoreStandIn().start()
    private val list = InstanceListStandIn().start()
    val engines = List(engineCount) { EngineStandIn().start() }
    val services = List(2) { PlainServiceStandIn().start() }
    val daemon = Daemon(settings())
    private val http = OkHttpClient.Builder().retryOnConnectionFailure(false).build()

    fun start(): DaemonHarness {
        store.put(ObjectKey.ACCOUNTS.value, TableCodec.encode(AccountTable(accounts = listOf(account()))))
        store.put(ObjectKey.ROUTES.value, TableCodec.encode(routes()))
        store.put(ObjectKey.POOLS.value, TableCodec.encode(pools()))
        daemon.start()
        await { daemon.isReady() && daemon.effectiveConfiguration.accounts.revision > 0 }
        return this
    }

    fun request(path: String): Request.Builder = Request.Builder().url(daemon.callerUrl + path).header("Authorization", "Bearer $API_KEY")

    fun operator(path: String): Request.Builder = Request.Builder().url(daemon.operatorUrl + path).header("Authorization", "Bearer $TOKEN")

    fun send(request: Request.Builder): Response = http.newCall(request.build()).execute()

    fun completion(
        body: String,
        type: String = "application/json",
    ): Request.Builder = request("/v1/completions").post(body.toRequestBody(type.toMediaType()))

    override fun close() {
        daemon.close()
        engines.forEach { it.close() }
        services.forEach { it.close() }
        list.close()
        store.close()
        Files.walk(directory).sorted(Comparator.reverseOrder()).forEach(Files::delete)
    }

    private fun settings(): Settings =
        Settings(
            site = "test",
            instance = Settings.InstanceSettings(InstanceId("entry-0"), DOMAINS[0]),
            listen = Settings.ListenSettings(),
            platform = Settings.PlatformSettings(store.url, list.url),
            keys = Settings.KeySettings(file("token", TOKEN), file("peer", "0123456789abcdef0123456789abcdef")),
        )

    private fun file(
        name: String,
        text: String,
    ): String = directory.resolve(name).also { Files.writeString(it, text) }.toString()

    private fun account(): ClientAccount =
        ClientAccount(AccountId("a"), 1.0, HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(API_KEY.toByteArray())))

    private fun routes(): RouteTable =
        RouteTable(
            routes =
                listOf(
                    route("completions", RouteMatch("/v1", methods = listOf("POST")), ServiceKind.MODEL, WorkClass.LONG),
                    route("lookups", RouteMatch("/lookups", methods = listOf("GET")), ServiceKind.PLAIN, WorkClass.LOOKUP),
                    route("payments", RouteMatch("/payments", methods = listOf("POST")), ServiceKind.PLAIN, WorkClass.NON_REPEATABLE),
                ),
        )

    private fun route(
        name: String,
        match: RouteMatch,
        kind: ServiceKind,
        workClass: WorkClass,
    ): Route =
        Route(
            RouteName(name),
            match,
            kind,
            workClass,
            listOf(if (kind == ServiceKind.MODEL) MODELS else SERVICES),
            progressTimeoutMillis = 400,
            maxBodyBytes = 10_000,
        )

    private fun pools(): PoolTable =
        PoolTable(
            pools =
                listOf(
                    Pool(MODELS, ServiceKind.MODEL, upstreams("engine", engineUrl, engines.map { it.url })),
                    Pool(
                        SERVICES,
                        ServiceKind.PLAIN,
                        upstreams("service", serviceUrl, services.map { it.url }),
                    ),
                ),
        )

    /** Upstreams at [urls], or a single one at [onlyUrl] if it is given. */
    private fun upstreams(
        prefix: String,
        onlyUrl: String?,
        urls: List<String>,
    ): List<UpstreamSpec> = (onlyUrl?.let(::listOf) ?: urls).mapIndexed { index, url -> upstream("$prefix-$index", url, index) }

    private fun upstream(
        id: String,
        url: String,
        index: Int,
    ): UpstreamSpec = UpstreamSpec(UpstreamId(id), url, DOMAINS[index % DOMAINS.size], VersionLabel("v1"))

    companion object {
        const val API_KEY: String = "caller-key"
        const val TOKEN: String = "operator-token"
        val DOMAINS: List<FailureDomain> = listOf(FailureDomain("zone-a"), FailureDomain("zone-b"))
        private val MODELS = PoolName("models")
        private val SERVICES = PoolName("services")
        private const val AWAIT_TIMEOUT_NANOS = 20_000_000_000L

        /** Waits until [condition] holds; fails after 20 s. */
        fun await(condition: () -> Boolean) {
            val end = System.nanoTime() + AWAIT_TIMEOUT_NANOS
            while (!condition()) {
                check(System.nanoTime() < end) { "condition not met within 20 s" }
                Thread.onSpinWait()
            }
        }
    }
}
