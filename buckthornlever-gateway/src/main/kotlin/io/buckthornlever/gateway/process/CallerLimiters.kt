package io.buckthornlever.gateway.process

import io.buckthornlever.api.process.Clock
import io.buckthornlever.core.serving.CallerMemoryBudget
import io.buckthornlever.core.serving.ConnectionBudget
import io.buckthornlever.core.serving.ProcessResources
import io.buckthornlever.gateway.connection.CallerMemory
import io.buckthornlever.gateway.connection.ListenerLimits
import io.netty.channel.EventLoop

/** Limits on what callers, other instances and readiness checks make this process hold, derived from [resources]. */
internal class CallerLimiters(
    resources: ProcessResources,
    loop: EventLoop,
    clock: Clock,
    metrics: GatewayMetrics,
    log: EventLog,
) {
    private val budget = CallerMemoryBudget(resources.callerBytes)

    /** Memory that the connections of all listeners share. */
    val memory = CallerMemory(budget, loop, clock, CallerLimitLog(clock, metrics, log, budget::heldBytes))
    val callers = ListenerLimits(memory, ConnectionBudget(resources.callerConnections))
    val relays = ListenerLimits(memory, ConnectionBudget(resources.relayConnections))
    val probes = ListenerLimits(memory, ConnectionBudget(resources.probeConnections))

    init {
        metrics.registerGauge("buckthornlever_caller_bytes", "Bytes that callers make the process hold") { budget.heldBytes.toDouble() }
        metrics.registerGauge("buckthornlever_caller_bytes_limit", "Bytes that callers may make the process hold") {
            budget.limitBytes.toDouble()
        }
        metrics.registerGauge("buckthornlever_caller_connections_limit", "Connections that callers may have open") {
            callers.connections.limit.toDouble()
        }
        metrics.registerGauge("buckthornlever_callers_paused", "Connections from which nothing is read until there is memory") {
            budget.waitingCount.toDouble()
        }
    }
}
