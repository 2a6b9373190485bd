package io.buckthornlever.bench.request

import io.buckthornlever.api.connection.LoadReport
import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.Configuration
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.core.process.CallOutcome
import io.buckthornlever.core.process.UpstreamHealth
import io.buckthornlever.core.request.Explanation
import io.buckthornlever.core.request.RoutingRequest
import io.buckthornlever.core.request.Selection
import io.buckthornlever.core.request.UpstreamSelector

/** Baseline: the least loaded of all allowed upstreams, without locality; the limit per upstream is fixed by the table. */
internal class NaiveSelector : UpstreamSelector {
    private class State(
        val spec: UpstreamSpec,
    ) {
        var inFlight = 0
        var reported = 0
        var usable = true
        val load get() = maxOf(inFlight, reported)
    }

    private var configuration = Configuration()
    private val states = HashMap<UpstreamId, State>()

    override fun configure(configuration: Configuration) {
        this.configuration = configuration
        configuration.pools.pools.flatMap { it.upstreams }.forEach { spec -> states.getOrPut(spec.id) { State(spec) } }
    }

    override fun onMembersChanged(live: Collection<InstanceId>): Unit = Unit

    override fun select(request: RoutingRequest): Selection {
        for (name in request.route.pools) {
            val pool = configuration.pools.pools.firstOrNull { it.name == name } ?: continue
            val best =
                pool.upstreams
                    .filter { it.failureDomain !in configuration.pools.domainsOut && it.id !in request.tried }
                    .map { states.getValue(it.id) }
                    .filter { it.usable && it.inFlight < it.spec.concurrency }
                    .minByOrNull { it.load.toDouble() / it.spec.concurrency }
            if (best != null) {
                best.inFlight++
                best.reported++
                return Selection.Chosen(best.spec, name, Explanation.EMPTY)
            }
        }
        return Selection.AtCapacity(Explanation.EMPTY)
    }

    override fun onCallFinished(
        upstream: UpstreamId,
        outcome: CallOutcome,
    ) {
        val state = states[upstream] ?: return
        state.inFlight--
        state.reported = maxOf(0, state.reported - 1)
    }

    override fun onLoadReported(
        upstream: UpstreamId,
        report: LoadReport,
    ) {
        val state = states[upstream] ?: return
        state.reported = report.running + report.waiting
        state.usable = !report.leaving
    }

    override fun onHealthChanged(
        upstream: UpstreamId,
        health: UpstreamHealth,
    ) {
        states[upstream]?.usable = health == UpstreamHealth.HEALTHY
    }
}
