package io.buckthornlever.standin.process

import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.process.PlatformInstance
import io.buckthornlever.standin.connection.Exchange
import io.buckthornlever.standin.connection.StandInServer
import io.javalin.config.RoutesConfig
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray

/** Stand-in for the platform's lagging list of instances. */
public class InstanceListStandIn(
    private val clock: Clock = SystemTime,
) : AutoCloseable {
    /** Switches for faults. */
    public val faults: InstanceListFaults = InstanceListFaults()

    /** Calls that arrived. */
    public val records: InstanceListRecords = InstanceListRecords()

    private val history = ArrayDeque(listOf(ListedInstances(clock.monotonicNanos(), emptyList())))
    private val server = StandInServer(MAX_THREADS, ::register)

    /** Base URL without a trailing slash; valid after [start]. */
    public val url: String
        get() = server.url

    /** Starts to listen. */
    public fun start(): InstanceListStandIn {
        server.start()
        return this
    }

    override fun close(): Unit = server.close()

    /** Replaces the true list; callers see it after [InstanceListFaults.lagMillis]. */
    @Synchronized
    public fun set(instances: List<PlatformInstance>) {
        history.addLast(ListedInstances(clock.monotonicNanos(), instances.toList()))
    }

    /** Adds [instance] or replaces the entry with the same id. */
    @Synchronized
    public fun put(instance: PlatformInstance): Unit = set(latest().filterNot { it.id == instance.id } + instance)

    /** Removes the entry with [id]. */
    @Synchronized
    public fun remove(id: String): Unit = set(latest().filterNot { it.id.value == id })

    private fun latest(): List<PlatformInstance> = history.last().instances

    @Synchronized
    private fun visible(): List<PlatformInstance> {
        val until = clock.monotonicNanos() - faults.lagMillis * NANOS_PER_MILLI
        return (history.lastOrNull { it.sinceNanos <= until } ?: history.first()).instances
    }

    private fun register(routes: RoutesConfig) {
        routes.get("/v1/instances") { context ->
            val exchange = Exchange(context, server)
            records.called()
            if (exchange.isSilenced) return@get exchange.hang()
            if (faults.delayMillis > 0) Thread.sleep(faults.delayMillis)
            if (faults.outage) {
                context.status(503)
                return@get
            }
            exchange.answer(200, body())
        }
    }

    private fun body() =
        buildJsonObject {
            putJsonArray("instances") {
                visible().forEach { instance ->
                    addJsonObject {
                        put("id", instance.id.value)
                        put("address", instance.address)
                        put("peerPort", instance.peerPort)
                        put("failureDomain", instance.failureDomain.value)
                        put("state", if (instance.leaving) "leaving" else "live")
                        put("role", instance.role)
                    }
                }
            }
        }

    private companion object {
        const val MAX_THREADS = 64
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
