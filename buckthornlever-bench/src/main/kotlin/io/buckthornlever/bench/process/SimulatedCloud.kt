package io.buckthornlever.bench.process

import io.buckthornlever.api.process.CloudInstance
import io.buckthornlever.api.process.CloudInstanceKind
import io.buckthornlever.api.process.CloudStartRequest
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.core.process.OfferKey
import io.buckthornlever.core.process.OrderOutcome
import java.util.SplittableRandom

/** Cloud whose instances need some time to start and to warm up, and whose answers get lost. */
internal class SimulatedCloud(
    private val day: CapacityDay,
    seed: Long,
) {
    private class Running(
        val instance: CloudInstance,
        val readyAt: Int,
        var endsAt: Int? = null,
    )

    private val random = SplittableRandom(seed)
    private val running = LinkedHashMap<String, Running>()
    private val started = HashMap<String, Int>()
    private var numbers = 0

    /** Starts carried out per request id. */
    val startsByRequest: Map<String, Int> get() = started

    /** Calls that repeated a request id whose instance had already been started. */
    var repeatedCalls = 0
        private set
    var refusals = 0
        private set

    fun start(
        request: CloudStartRequest,
        step: Int,
    ): OrderOutcome {
        if (request.requestId in started) {
            repeatedCalls++
            return OrderOutcome.Done
        }
        if (request.kind == CloudInstanceKind.RECLAIMABLE && day.scarce(step, request.failureDomain)) {
            refusals++
            return OrderOutcome.Refused
        }
        started.merge(request.requestId, 1, Int::plus)
        val id = "c${numbers++}"
        val instance = CloudInstance(id, request.failureDomain, request.machineClass, request.kind, request.requestId)
        running[id] = Running(instance, step + random.nextInt(9, 18))
        return if (random.nextInt(15) == 0) OrderOutcome.Unknown else OrderOutcome.Done
    }

    fun stop(id: String) {
        running.remove(id)
    }

    /** Gives notice of 30 s to all reclaimable instances in [domain]. */
    fun reclaim(
        domain: FailureDomain,
        step: Int,
    ) = running.values
        .filter { it.instance.failureDomain == domain && it.instance.kind == CloudInstanceKind.RECLAIMABLE }
        .forEach { it.endsAt = step + NOTICE_STEPS }

    fun end(step: Int) {
        running.values.removeIf { instance -> instance.endsAt?.let { step >= it } == true }
    }

    fun instances(): List<CloudInstance> = running.values.map { it.instance }

    fun ready(step: Int): Set<String> = running.values.filter { step >= it.readyAt }.map { it.instance.id }.toSet()

    fun leaving(): Set<String> = running.values.filter { it.endsAt != null }.map { it.instance.id }.toSet()

    /** Capacity that takes load now; what is leaving takes no new work. */
    fun capacity(
        step: Int,
        capacityOf: (OfferKey) -> Int,
    ): Int = running.values.filter { step >= it.readyAt && it.endsAt == null }.sumOf { capacityOf(key(it.instance)) }

    fun cost(price: (OfferKey) -> Double): Double = running.values.sumOf { price(key(it.instance)) }

    private fun key(instance: CloudInstance): OfferKey = OfferKey(instance.failureDomain, instance.machineClass, instance.kind)

    private companion object {
        const val NOTICE_STEPS = 3
    }
}
