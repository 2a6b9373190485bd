package io.buckthornlever.daemon.process

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import io.buckthornlever.api.process.ConfigurationError
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.ObjectKey
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.process.StoreError
import io.buckthornlever.core.process.TableCodec
import io.buckthornlever.core.process.membership.TableRevisions
import io.buckthornlever.daemon.process.control.ControlPlane
import io.javalin.Javalin
import io.javalin.http.Context
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.eclipse.jetty.util.thread.QueuedThreadPool
import java.time.Duration

/** HTTP server for operators: health, metrics, state dump and table changes. */
internal class OperatorServer(
    private val settings: Settings,
    private val token: OperatorTokenFile,
    private val configuration: ConfigurationHolder,
    private val editor: ConfigurationEditor,
    private val control: ControlPlane,
    private val metrics: DaemonMetrics,
    private val isReady: () -> Boolean,
    private val dump: () -> StateDump,
) : AutoCloseable {
    private val app: Javalin =
        Javalin.create { config ->
            config.startup.showJavalinBanner = false
            config.startup.showOldJavalinVersionWarning = false
            config.jetty.threadPool = QueuedThreadPool(MAX_THREADS, MIN_THREADS).apply { name = "operator" }
            config.routes.get("/healthz") { it.result("ok") }
            config.routes.get("/readyz") { if (isReady()) it.result("ready") else it.status(503).result("not ready") }
            config.routes.get("/metrics") { it.contentType("text/plain; version=0.0.4").result(metrics.text()) }
            config.routes.get("/admin/dump") { ctx -> authorized(ctx) { ctx.json(JSON.encodeToString(StateDump.serializer(), dump())) } }
            config.routes.get("/admin/status") { ctx -> authorized(ctx) { ctx.json(JSON.encodeToString(StateDump.serializer(), dump())) } }
            config.routes.get("/admin/config/{table}") { ctx -> authorized(ctx) { readTable(ctx) } }
            config.routes.put("/admin/config/{table}") { ctx -> authorized(ctx) { writeTable(ctx) } }
            config.routes.get("/admin/effective") { ctx -> authorized(ctx) { awaitEffective(ctx) } }
            config.routes.post("/admin/domains/{domain}/take-out") { ctx -> authorized(ctx) { setDomain(ctx, out = true) } }
            config.routes.post("/admin/domains/{domain}/return") { ctx -> authorized(ctx) { setDomain(ctx, out = false) } }
        }

    /** Port in use after [start]. */
    val port: Int get() = app.port()

    fun start() {
        app.start(settings.listen.address, settings.listen.operatorPort)
    }

    override fun close() {
        app.stop()
    }

    private fun authorized(
        context: Context,
        action: () -> Unit,
    ) {
        val given = context.header("Authorization")?.removePrefix("Bearer ").orEmpty()
        if (token.matches(given)) action() else problem(context, 401, "unauthenticated", "the operator token is missing or wrong")
    }

    private fun readTable(context: Context) {
        val current = configuration.get()
        val (text, revision) =
            when (keyOf(context)) {
                ObjectKey.ROUTES -> TableCodec.encode(current.routes) to current.routes.revision
                ObjectKey.POOLS -> TableCodec.encode(current.pools) to current.pools.revision
                ObjectKey.ACCOUNTS -> TableCodec.encode(current.accounts) to current.accounts.revision
                else -> return problem(context, 404, "not-found", UNKNOWN_TABLE)
            }
        context.header("ETag", "\"$revision\"").json(text)
    }

    private fun writeTable(context: Context) {
        val key = keyOf(context) ?: return problem(context, 404, "not-found", UNKNOWN_TABLE)
        val expected = context.header("If-Match")?.trim('"')?.toLongOrNull()
        val create = context.header("If-None-Match") == "*"
        if (expected == null &&
            !create
        ) {
            return problem(context, 428, "precondition-required", "send If-Match with the revision that the change is based on")
        }
        respond(context, editor.replace(key, context.body(), if (create) null else expected?.let(::ObjectVersion)))
    }

    /** Waits until the given revisions are in effect on all live instances and responds with the ids of those that lag. */
    private fun awaitEffective(context: Context) {
        fun number(name: String) = context.queryParam(name)?.toLongOrNull() ?: 0
        val target = TableRevisions(number("routes"), number("pools"), number("accounts"))
        val lagging = control.awaitEffective(target, Duration.ofMillis(number("waitMillis").coerceIn(0, MAX_WAIT_MILLIS)))
        val document =
            buildJsonObject {
                put("effective", lagging.isEmpty())
                putJsonArray("lagging") { lagging.forEach { add(it.value) } }
            }
        context.json(document.toString())
    }

    private fun setDomain(
        context: Context,
        out: Boolean,
    ) {
        respond(context, editor.setDomain(FailureDomain(context.pathParam("domain")), out))
    }

    private fun respond(
        context: Context,
        result: Result<ObjectVersion, EditError>,
    ): Unit =
        result.mapBoth(
            success = { context.header("ETag", "\"${it.value}\"").json(buildJsonObject { put("revision", it.value) }.toString()) },
            failure = { refuse(context, it) },
        ).let { }

    private fun refuse(
        context: Context,
        error: EditError,
    ) {
        when (error) {
            is EditError.UnknownDomain -> problem(context, 404, "unknown-domain", "no upstream is in failure domain ${error.domain}")
            is EditError.Refused -> refuseTable(context, error.error)
            is EditError.Store ->
                when (val cause = error.error) {
                    is StoreError.Conflict -> problem(context, 412, "conflict", "the table has changed; read it again")
                    StoreError.TooLarge -> problem(context, 413, "too-large", "the table is larger than the store's limit of 1 MB")
                    else -> problem(context, 503, "store-unavailable", "the change is not accepted: $cause")
                }
        }
    }

    private fun refuseTable(
        context: Context,
        error: ConfigurationError,
    ) {
        when (error) {
            is ConfigurationError.Malformed -> problem(context, 400, "malformed", error.detail)
            is ConfigurationError.Invalid -> {
                val document =
                    buildJsonObject {
                        put("status", 422)
                        put("code", "invalid")
                        put("detail", "the table breaks rules and is not accepted")
                        putJsonArray("findings") {
                            error.findings.forEach {
                                addJsonObject {
                                    put("path", it.path)
                                    put("message", it.message)
                                }
                            }
                        }
                    }
                context.status(422).contentType(PROBLEM).result(document.toString())
            }
        }
    }

    private fun problem(
        context: Context,
        status: Int,
        code: String,
        detail: String,
    ) {
        val document =
            buildJsonObject {
                put("status", status)
                put("code", code)
                put("detail", detail)
            }
        context.status(status).contentType(PROBLEM).result(document.toString())
    }

    private fun keyOf(context: Context): ObjectKey? =
        when (context.pathParam("table")) {
            "routes" -> ObjectKey.ROUTES
            "pools" -> ObjectKey.POOLS
            "accounts" -> ObjectKey.ACCOUNTS
            else -> null
        }

    private companion object {
        const val MIN_THREADS = 4
        const val MAX_WAIT_MILLIS = 60_000L
        const val MAX_THREADS = 16
        const val PROBLEM = "application/problem+json"
        const val UNKNOWN_TABLE = "tables are routes, pools and accounts"
        val JSON = Json { prettyPrint = true }
    }
}
