package io.buckthornlever.bench.process

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.process.AccountTable
import io.buckthornlever.api.process.ClientAccount
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
import java.security.MessageDigest
import java.util.HexFormat

/** Tables of a site whose upstreams are stand-ins. */
internal object SiteTables {
    private val MODELS = PoolName("models")
    private val SERVICES = PoolName("services")
    private const val PROGRESS_TIMEOUT_MILLIS = 2_000L

    fun routes(layout: SiteLayout): RouteTable =
        RouteTable(
            routes =
                listOf(
                    model("long", layout.longModel, WorkClass.LONG),
                    model("brief", layout.briefModel, WorkClass.INTERACTIVE),
                ) + layout.nonRepeatablePaths.map { plain(it, "POST", WorkClass.NON_REPEATABLE) } +
                    layout.lookupPaths.map { plain(it, "GET", WorkClass.LOOKUP) },
        )

    fun pools(
        layout: SiteLayout,
        engineUrls: List<String>,
        serviceUrls: List<String>,
    ): PoolTable =
        PoolTable(
            pools =
                listOf(
                    Pool(MODELS, ServiceKind.MODEL, engineUrls.mapIndexed { index, url -> upstream(layout, "engine-$index", index, url) }),
                    Pool(
                        SERVICES,
                        ServiceKind.PLAIN,
                        serviceUrls.mapIndexed {
                            index,
                            url,
                            ->
                            upstream(layout, "service-$index", index, url)
                        },
                    ),
                ),
        )

    fun accounts(): AccountTable =
        AccountTable(
            accounts = SiteLayout.ACCOUNT_WEIGHTS.mapIndexed {
                index,
                weight,
                ->
                ClientAccount(AccountId("account-$index"), weight, sha256(apiKey(index)))
            },
        )

    /** API key of the client account with number [index]. */
    fun apiKey(index: Int): String = "test-key-$index"

    private fun model(
        name: String,
        model: String,
        workClass: WorkClass,
    ): Route =
        Route(
            name = RouteName(name),
            match = RouteMatch("/v1", model, listOf("POST")),
            kind = ServiceKind.MODEL,
            workClass = workClass,
            pools = listOf(MODELS),
            progressTimeoutMillis = PROGRESS_TIMEOUT_MILLIS,
        )

    private fun plain(
        path: String,
        method: String,
        workClass: WorkClass,
    ): Route =
        Route(
            name = RouteName(path.trim('/').replace('/', '-')),
            match = RouteMatch(path, methods = listOf(method)),
            kind = ServiceKind.PLAIN,
            workClass = workClass,
            pools = listOf(SERVICES),
            progressTimeoutMillis = PROGRESS_TIMEOUT_MILLIS,
        )

    private fun upstream(
        layout: SiteLayout,
        id: String,
        index: Int,
        url: String,
    ): UpstreamSpec = UpstreamSpec(UpstreamId(id), url, layout.domainOf(index), VersionLabel("v1"))

    private fun sha256(text: String): String = HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.toByteArray()))
}
