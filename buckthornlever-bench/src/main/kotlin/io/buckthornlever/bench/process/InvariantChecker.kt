package io.buckthornlever.bench.process

import io.buckthornlever.bench.request.CallKind
import io.buckthornlever.bench.request.CallRecord
import io.buckthornlever.standin.request.CrashCause
import java.time.Duration
import java.time.Instant

/** Checks what must always hold from the records of callers and upstreams, not from the daemons' own word. */
internal class InvariantChecker(
    private val fixture: SiteFixture,
    private val calls: List<CallRecord>,
    private val events: EventRecord,
) {
    private val executions: Map<String, Int> =
        fixture.services
            .flatMap { it.records.executionsByKey.entries }
            .groupingBy { it.key }
            .fold(0) { sum, entry -> sum + entry.value }

    /** One result for each line. */
    fun check(): List<InvariantResult> =
        listOf(
            whole("accepted long work survives a reclaim", calls.filter { it.kind == CallKind.LONG_STREAM }),
            coldUpstreams(),
            domainsOut(),
            whole("each caller receives its whole answer", calls),
            notRun(),
            atMostOnce(),
            leavingUpstreams(),
            whole("a graceful shutdown cuts no request", calls.filter { it.instance in events.closedInstances }),
            configuration(),
        )

    private fun whole(
        name: String,
        cases: List<CallRecord>,
    ): InvariantResult {
        val accepted = cases.filter { it.accepted }
        val cut = accepted.filter { !it.whole }
        return InvariantResult(
            name,
            accepted.size,
            cut.map {
                "${it.kind} at ${it.startedAt} by entry-${it.instance}: ${it.status} ${it.detail}"
            },
        )
    }

    private fun coldUpstreams(): InvariantResult {
        val crashed =
            fixture.engines.flatMapIndexed { index, engine ->
                engine.records.crashes
                    .filter { it.cause == CrashCause.COLD_OVERLOAD && !unannounced(index, it.at) }
                    .map { "engine-$index fell over at ${it.at}" }
            }
        val checked = fixture.engines.sumOf { engine -> engine.records.arrivals.count { it.cold } }
        return InvariantResult("a cold upstream receives no more than it bears", checked, crashed)
    }

    // Work that was in flight when a warm engine turned cold without announcement is more than it bears at once;
    // nobody can know before a load report tells it.
    private fun unannounced(
        engine: Int,
        at: Instant,
    ): Boolean = events.coldTurns.any { (index, turned) -> index == engine && at >= turned && at < turned.plus(COLD_NOTICE) }

    private fun domainsOut(): InvariantResult {
        val late = events.domainsOut.flatMap { out -> arrivalsIn(out).map { "arrival in ${out.domain} at $it" } }
        return InvariantResult("a domain taken out receives no new work after 3 s", events.domainsOut.size, late)
    }

    private fun arrivalsIn(out: EventRecord.DomainOut): List<Instant> {
        val engines = fixture.engines.filterIndexed { index, _ -> fixture.layout.domainOf(index) == out.domain }
        val services = fixture.services.filterIndexed { index, _ -> fixture.layout.domainOf(index) == out.domain }
        val arrivals =
            engines.flatMap { engine -> engine.records.arrivals.map { it.at } } +
                services.flatMap { service -> service.records.executions.map { it.at } }
        return arrivals.filter { it > out.from.plus(GRACE) && it < out.until }
    }

    private fun notRun(): InvariantResult {
        val byKey = calls.filter { it.key != null }.groupBy { it.key.orEmpty() }
        val refused = byKey.filterValues { records -> records.all { it.executed == "not-run" } }
        val untrue = refused.keys.filter { it in executions }
        return InvariantResult(
            "a refusal saying \"not run\" is true",
            refused.size,
            untrue.map { key ->
                "key $key: ${byKey.getValue(key).first().detail}"
            },
        )
    }

    private fun atMostOnce(): InvariantResult {
        val keys = calls.filter { it.kind == CallKind.NON_REPEATABLE }.mapNotNull { it.key }.toSet()
        val twice = keys.filter { (executions[it] ?: 0) > 1 }
        return InvariantResult("a non-repeatable call runs at most once", keys.size, twice.map { "key $it ran ${executions[it]} times" })
    }

    private fun leavingUpstreams(): InvariantResult {
        val late =
            events.reclaims.flatMap { reclaim ->
                val arrivals = fixture.engines[reclaim.engine].records.arrivals.map { it.at }
                arrivals.filter {
                    it > reclaim.noticeAt.plus(GRACE) && it < reclaim.endAt
                }.map { "arrival at engine-${reclaim.engine} at $it" }
            }
        return InvariantResult("a leaving upstream receives no new work after 3 s", events.reclaims.size, late)
    }

    private fun configuration(): InvariantResult {
        val late = events.changeTimes.filter { it > GRACE }.map { "a change took ${it.toMillis()} ms" }
        val reverts = events.revisionReverts.get().takeIf { it > 0 }?.let { "$it samples showed an older revision" }
        return InvariantResult(
            "an accepted configuration is in force within 3 s and never reverts",
            events.changeTimes.size,
            late + listOfNotNull(reverts),
        )
    }

    private companion object {
        val GRACE: Duration = Duration.ofSeconds(3)

        /** Two load reports at most 500 ms apart and the calls sent before them. */
        val COLD_NOTICE: Duration = Duration.ofSeconds(2)
    }
}
