package io.buckthornlever.standin.process

import io.buckthornlever.api.process.Clock
import io.buckthornlever.standin.connection.Exchange
import io.buckthornlever.standin.connection.StandInServer
import io.buckthornlever.standin.request.StoreCall
import io.javalin.config.RoutesConfig
import io.javalin.http.Context
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray

/**
 * Stand-in for the platform's object API.
 *
 * @property config limits of the store
 */
public class ObjectStoreStandIn(
    public val config: ObjectStoreConfig = ObjectStoreConfig(),
    clock: Clock = SystemTime,
) : AutoCloseable {
    /** Switches for faults. */
    public val faults: ObjectStoreFaults = ObjectStoreFaults()

    /** Calls that arrived and writes that took effect. */
    public val records: ObjectStoreRecords = ObjectStoreRecords()

    private val objects = VersionedObjects()
    private val writes = RateLimit(config.writesPerSecond, clock)
    private val reads = RateLimit(config.readsPerSecond, clock)
    private val server = StandInServer(config.maxThreads, ::register)

    /** Base URL without a trailing slash; valid after [start]. */
    public val url: String
        get() = server.url

    /** Starts to listen. */
    public fun start(): ObjectStoreStandIn {
        server.start()
        return this
    }

    override fun close(): Unit = server.close()

    /** Writes [value] unconditionally, beside the HTTP interface, faults and limits; returns the new version. */
    public fun put(
        key: String,
        value: String,
    ): Long = objects.put(key, value).also { records.written(key, it, value) }

    /** Current value of [key], beside the HTTP interface, faults and limits. */
    public fun value(key: String): String? = objects.get(key)?.value

    /** Current version of [key], beside the HTTP interface, faults and limits. */
    public fun version(key: String): Long? = objects.get(key)?.version

    private fun register(routes: RoutesConfig) {
        routes.get("/v1/objects/<key>") { serve(it, StoreCall.READ, ::read) }
        routes.put("/v1/objects/<key>") { serve(it, StoreCall.WRITE, ::write) }
        routes.delete("/v1/objects/<key>") { serve(it, StoreCall.DELETE, ::delete) }
        routes.get("/v1/objects") { serve(it, StoreCall.LIST, ::list) }
        routes.get("/v1/watch") { serve(it, StoreCall.WATCH, ::watch) }
    }

    private fun serve(
        context: Context,
        call: StoreCall,
        handler: (Context) -> Unit,
    ) {
        val exchange = Exchange(context, server)
        records.called(call)
        if (exchange.isSilenced) return exchange.hang()
        if (faults.delayMillis > 0) Thread.sleep(faults.delayMillis)
        if (faults.outage) return refuse(context, 503)
        val limit = if (call.changesObjects) writes else reads
        if (!limit.tryTake()) {
            records.limited(call)
            context.header("Retry-After", "1")
            return refuse(context, 429)
        }
        handler(context)
        if (call.changesObjects && context.statusCode() < 300 && faults.takeLostResponse(context.pathParam("key"))) {
            records.lostResponse()
            exchange.drop()
        }
    }

    private fun read(context: Context) {
        val found = objects.get(context.pathParam("key"))
        val value = found?.value ?: return refuse(context, 404)
        context.header("ETag", etag(found.version)).contentType("application/json").result(value)
    }

    private fun write(context: Context) {
        val key = context.pathParam("key")
        val value = context.req().inputStream.readBytes()
        if (value.size > config.maxValueBytes) return refuse(context, 413)
        val text = value.decodeToString()
        val expected = expectedVersion(context)
        val create = context.header("If-None-Match") == "*"
        if (!create && expected == null) return refuse(context, 428)
        val outcome = objects.putIf(key, text, if (create) null else expected)
        answerWrite(context, outcome, if (create) 201 else 200) { records.written(key, it, text) }
    }

    private fun delete(context: Context) {
        val key = context.pathParam("key")
        val expected = expectedVersion(context) ?: return refuse(context, 428)
        if (objects.get(key)?.value == null) return refuse(context, 404)
        answerWrite(context, objects.deleteIf(key, expected), 200) { records.written(key, it, null) }
    }

    private fun answerWrite(
        context: Context,
        outcome: ConditionalWrite,
        success: Int,
        record: (Long) -> Unit,
    ) {
        outcome.current?.let { context.header("ETag", etag(it)) }
        if (!outcome.applied) return refuse(context, 412)
        outcome.current?.let(record)
        context.status(success)
    }

    private fun list(context: Context) {
        val listing = objects.list(context.queryParam("prefix").orEmpty())
        answer(context, listing)
    }

    private fun watch(context: Context) {
        val since = context.queryParam("since")?.toLongOrNull() ?: return refuse(context, 400)
        val wait = (context.queryParam("waitSeconds")?.toDoubleOrNull() ?: 0.0).coerceIn(0.0, MAX_WAIT_SECONDS)
        val exchange = Exchange(context, server)
        val changes =
            objects.changes(context.queryParam("prefix").orEmpty(), since, (wait * NANOS_PER_SECOND).toLong()) {
                faults.outage || !server.isOpen || exchange.clientGone()
            }
        if (exchange.isSilenced) return exchange.hang()
        if (faults.outage) return refuse(context, 503)
        answer(context, changes)
    }

    private fun answer(
        context: Context,
        listing: VersionedListing,
    ) {
        val body =
            buildJsonObject {
                put("revision", listing.revision)
                putJsonArray("objects") {
                    listing.objects.forEach { entry ->
                        addJsonObject {
                            put("key", entry.key)
                            put("version", entry.version)
                            put("value", entry.value.toJson())
                        }
                    }
                }
            }
        context.contentType("application/json").result(body.toString())
    }

    private fun refuse(
        context: Context,
        status: Int,
    ) {
        context.status(status)
    }

    private fun expectedVersion(context: Context): Long? = context.header("If-Match")?.trim('"')?.toLongOrNull()

    private fun etag(version: Long): String = "\"$version\""

    private fun String?.toJson(): JsonElement = if (this == null) JsonNull else JsonPrimitive(this)

    private companion object {
        const val MAX_WAIT_SECONDS = 300.0
        const val NANOS_PER_SECOND = 1_000_000_000.0
    }
}
