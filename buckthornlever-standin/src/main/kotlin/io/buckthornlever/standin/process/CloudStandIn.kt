package io.buckthornlever.standin.process

import io.buckthornlever.api.process.Clock
import io.buckthornlever.standin.connection.Exchange
import io.buckthornlever.standin.connection.StandInServer
import io.buckthornlever.standin.request.CloudOrder
import io.buckthornlever.standin.request.CreateInstance
import io.javalin.config.RoutesConfig
import io.javalin.http.Context
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import java.time.Duration
import java.time.Instant

/**
 * Stand-in for the cloud API. It keeps a list of instances but starts no process; [onCreated] lets an experiment do so.
 *
 * @property config prices and start time
 */
public class CloudStandIn(
    public val config: CloudConfig,
    private val clock: Clock = SystemTime,
) : AutoCloseable {
    /** Switches for faults. */
    public val faults: CloudFaults = CloudFaults()

    /** Calls that arrived and were executed. */
    public val records: CloudRecords = CloudRecords()

    /** Called after each creation, before its answer; must return soon. */
    @Volatile
    public var onCreated: (CloudInstance) -> Unit = {}

    /** Called after each deletion by a caller, before its answer; must return soon. */
    @Volatile
    public var onDeleted: (CloudInstance) -> Unit = {}

    private val known = LinkedHashMap<String, CloudInstance>()
    private val idsByRequest = HashMap<String, String>()
    private val notices = ArrayList<CloudNotice>()
    private val prices = config.prices.associateByTo(LinkedHashMap(), ::priceKey)
    private val server = StandInServer(MAX_THREADS, ::register)

    /** Base URL without a trailing slash; valid after [start]. */
    public val url: String
        get() = server.url

    /** All instances ever created, ended ones included. */
    public val instances: List<CloudInstance>
        @Synchronized get() = known.values.toList()

    /** Starts to listen. */
    public fun start(): CloudStandIn {
        server.start()
        return this
    }

    override fun close(): Unit = server.close()

    /** Announces the reclaim of the instance with [id], which ends after [notice]. */
    @Synchronized
    public fun reclaim(
        id: String,
        notice: Duration,
    ) {
        val instance = known.getValue(id)
        if (instance.endsAt != null) return
        val endsAt = clock.now() + notice
        known[id] = instance.copy(endsAt = endsAt)
        notices.add(CloudNotice(notices.size + 1L, id, instance.failureDomain, endsAt))
    }

    /** Announces the reclaim of all reclaimable instances in [failureDomain] and returns their ids. */
    @Synchronized
    public fun reclaimDomain(
        failureDomain: String,
        notice: Duration,
    ): List<String> {
        val ids =
            known.values.filter { it.failureDomain == failureDomain && it.kind == RECLAIMABLE && it.endsAt == null }.map { it.id }
        ids.forEach { reclaim(it, notice) }
        return ids
    }

    /** Sets a price for instances created from now on. */
    @Synchronized
    public fun setPrice(price: CloudPrice) {
        prices[priceKey(price)] = price
    }

    /** Sets the address that listings show for the instance with [id]. */
    @Synchronized
    public fun setAddress(
        id: String,
        address: String,
    ) {
        known[id] = known.getValue(id).copy(address = address)
    }

    /** Price of all instances from their creation to their end or [until]. */
    public fun cost(until: Instant): Double =
        instances.sumOf { instance ->
            val end = instance.endsAt?.takeIf { it.isBefore(until) } ?: until
            instance.pricePerHour * Duration.between(instance.createdAt, end).toMillis().coerceAtLeast(0) / MILLIS_PER_HOUR
        }

    private fun register(routes: RoutesConfig) {
        routes.post("/v1/cloud/instances") { serve(it, ::create) }
        routes.delete("/v1/cloud/instances/{id}") { serve(it, ::delete) }
        routes.get("/v1/cloud/instances") { serve(it, ::list) }
        routes.get("/v1/cloud/notices") { serve(it, ::listNotices) }
        routes.get("/v1/cloud/prices") { serve(it, ::listPrices) }
    }

    private fun serve(
        context: Context,
        handler: (Exchange) -> Unit,
    ) {
        val exchange = Exchange(context, server)
        records.called()
        if (faults.delayMillis > 0) Thread.sleep(faults.delayMillis)
        if (faults.outage) {
            context.status(503)
            return
        }
        handler(exchange)
        if (context.method().name != "GET" && context.statusCode() < 300 && faults.takeLostResponse()) {
            records.lostResponse()
            exchange.drop()
        }
    }

    private fun create(exchange: Exchange) {
        val wanted =
            try {
                Json.decodeFromJsonElement(CreateInstance.serializer(), exchange.body())
            } catch (_: SerializationException) {
                return status(exchange, 400)
            }
        val price = price(wanted) ?: return status(exchange, 400)
        val (instance, repeated) = createOnce(wanted.requestId, price)
        records.ordered(
            CloudOrder(
                requestId = wanted.requestId,
                failureDomain = wanted.failureDomain,
                machineClass = wanted.machineClass,
                kind = wanted.kind,
                at = clock.now(),
                instanceId = instance?.id,
                repeated = repeated,
            ),
        )
        if (instance == null) return exchange.answer(409, buildJsonObject { put("reason", "no capacity") })
        if (!repeated) onCreated(instance)
        exchange.answer(201, instance.toJson())
    }

    @Synchronized
    private fun price(wanted: CreateInstance): CloudPrice? = prices[listOf(wanted.failureDomain, wanted.machineClass, wanted.kind)]

    /** The instance of [requestId], null when the creation is refused, and whether it had been created before. */
    @Synchronized
    private fun createOnce(
        requestId: String,
        price: CloudPrice,
    ): Pair<CloudInstance?, Boolean> {
        idsByRequest[requestId]?.let { return known.getValue(it) to true }
        if (price.failureDomain in faults.refusedDomains || faults.takeRefusal()) return null to false
        val now = clock.now()
        val instance =
            CloudInstance(
                id = "i-${known.size + 1}",
                requestId = requestId,
                failureDomain = price.failureDomain,
                machineClass = price.machineClass,
                kind = price.kind,
                pricePerHour = price.pricePerHour,
                createdAt = now,
                readyAt = now.plusMillis(config.startMillis),
            )
        known[instance.id] = instance
        idsByRequest[requestId] = instance.id
        return instance to false
    }

    private fun delete(exchange: Exchange) {
        val instance = end(exchange.context.pathParam("id")) ?: return status(exchange, 404)
        records.deleted(instance.id)
        onDeleted(instance)
        exchange.answer(200, instance.toJson())
    }

    @Synchronized
    private fun end(id: String): CloudInstance? {
        val now = clock.now()
        val instance = known[id]?.takeUnless { it.hasEnded(now) } ?: return null
        return instance.copy(endsAt = now).also { known[id] = it }
    }

    private fun list(exchange: Exchange) {
        val now = clock.now()
        val live = instances.filterNot { it.hasEnded(now) }
        exchange.answer(200, buildJsonObject { putJsonArray("instances") { live.forEach { add(it.toJson()) } } })
    }

    private fun listNotices(exchange: Exchange) {
        val since = exchange.context.queryParam("since")?.toLongOrNull() ?: 0
        val found = synchronized(this) { notices.filter { it.sequence > since } }
        val body =
            buildJsonObject {
                put("next", found.lastOrNull()?.sequence ?: since)
                putJsonArray("notices") { found.forEach { add(it.toJson()) } }
            }
        exchange.answer(200, body)
    }

    private fun listPrices(exchange: Exchange) {
        val current = synchronized(this) { prices.values.toList() }
        exchange.answer(200, buildJsonObject { putJsonArray("prices") { current.forEach { add(it.toJson()) } } })
    }

    private fun status(
        exchange: Exchange,
        status: Int,
    ) {
        exchange.context.status(status)
    }

    private fun CloudInstance.toJson(): JsonObject =
        buildJsonObject {
            put("id", id)
            put("requestId", requestId)
            put("failureDomain", failureDomain)
            put("machineClass", machineClass)
            put("kind", kind)
            put("state", state(clock.now()))
            put("address", address)
        }

    private fun CloudInstance.state(now: Instant): String =
        when {
            hasEnded(now) -> "ended"
            endsAt != null -> "leaving"
            now.isBefore(readyAt) -> "starting"
            else -> "running"
        }

    private fun CloudNotice.toJson(): JsonObject =
        buildJsonObject {
            put("seq", sequence)
            put("instanceId", instanceId)
            put("failureDomain", failureDomain)
            put("endsAt", endsAt.toString())
        }

    private fun CloudPrice.toJson(): JsonObject =
        buildJsonObject {
            put("failureDomain", failureDomain)
            put("machineClass", machineClass)
            put("kind", kind)
            put("pricePerHour", pricePerHour)
        }

    private fun priceKey(price: CloudPrice): List<String> = listOf(price.failureDomain, price.machineClass, price.kind)

    private companion object {
        const val RECLAIMABLE = "reclaimable"
        const val MAX_THREADS = 64
        const val MILLIS_PER_HOUR = 3_600_000.0
    }
}
