package io.buckthornlever.core.serving

import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.serving.DutyOutcome
import io.buckthornlever.api.serving.ScalingLimits
import io.buckthornlever.api.serving.UpstreamOrder
import java.time.Duration

/**
 * Engines that are ordered by a [CapacityPlan] in three failure domains, without a network. An order takes 4 s, a reclaim takes all
 * reclaimable engines of a failure domain, and none can be ordered for 13 s after it. An engine reads 57 prompt tokens a millisecond
 * four fifths of the time, as long as there are any.
 */
internal class EngineSite(
    onDemandPerDomain: Int,
    reclaimablePerDomain: Int,
) {
    private val domains = listOf("a", "b", "c").map(::FailureDomain)
    private val limits = ScalingLimits(1, 40, Duration.ofSeconds(4), 0.18, domains.associateWith { 1.0 })
    private val balancer = UpstreamBalancer(InstanceId("i"), domains.first(), ManualClock())
    private val pending = ArrayList<Pending>()
    private var plan = CapacityPlan(SERVICE)
    private val schedule = UpstreamOrderSchedule()
    private var started = 0
    private var backlog = 0.0
    private var reclaimableFrom = 0L

    var nanos = 0L
        private set

    /** Sum of the prices of all engines so far; an on-demand engine costs 1 a second. */
    var cost = 0.0
        private set

    /** Longest wait since the last [resetWait]. */
    var longestWait: Duration = Duration.ZERO
        private set

    val running: Int get() = balancer.upstreams.size
    val onDemand: Int get() = balancer.upstreams.count { !it.upstream.reclaimable }

    init {
        for (domain in domains) {
            repeat(onDemandPerDomain) { start(domain, false) }
            repeat(reclaimablePerDomain) { start(domain, true) }
        }
    }

    fun resetWait() {
        longestWait = Duration.ZERO
    }

    /** Another instance takes the lease over. */
    fun replaceHolder() {
        plan = CapacityPlan(SERVICE)
        schedule.clear()
    }

    fun reclaim(domain: Int) {
        stop(domains[domain], true, Int.MAX_VALUE)
        pending.removeIf { it.reclaimable && it.domain == domains[domain] }
        reclaimableFrom = nanos + seconds(13)
    }

    /** Runs for [seconds] with [demand] prompt tokens to read a second, of which the lease holder has heard [heard]; null if it has not. */
    fun run(
        seconds: Int,
        demand: Double,
        heard: () -> Double? = { demand },
        eachStep: () -> Unit = {},
    ) {
        val end = nanos + seconds(seconds)
        while (nanos < end) {
            nanos += STEP_NANOS
            pending.filter { it.readyNanos <= nanos }.forEach { start(it.domain, it.reclaimable) }
            pending.removeIf { it.readyNanos <= nanos }
            val wait = step(demand)
            eachStep()
            order(heard(), wait)
        }
    }

    private fun step(demand: Double): Duration {
        val capacity = running * ENGINE_TOKENS
        val step = STEP_NANOS / 1e9
        backlog = maxOf(0.0, backlog + (demand - capacity * READING_SHARE) * step)
        val load = minOf(MAX_LOAD, demand / maxOf(1.0, capacity))
        val millis = backlog / maxOf(1.0, capacity) * 1_000 + BUSY_MILLIS * load / (1 - load)
        val wait = Duration.ofMillis(millis.toLong())
        if (wait > longestWait) longestWait = wait
        cost += balancer.upstreams.sumOf { if (it.upstream.reclaimable) 0.18 else 1.0 } * step
        return wait
    }

    private fun order(
        heard: Double?,
        wait: Duration,
    ) {
        val load = ServiceLoad(wait, Duration.ofMillis(500))
        plan.engineDemand = EngineDemand(heard ?: 0.0, ENGINE_TOKENS, load, Duration.ofMillis(510), heard != null)
        for (order in plan.orders(limits, domains, balancer.upstreams.toList(), 0.0, nanos)) {
            val here = balancer.upstreams.count { it.upstream.domain == order.domain && it.upstream.reclaimable == order.reclaimable }
            if (schedule.isDue(order, here, nanos)) carryOut(order, here)
        }
    }

    private fun carryOut(
        order: UpstreamOrder,
        here: Int,
    ) {
        val coming = pending.filter { it.domain == order.domain && it.reclaimable == order.reclaimable }
        val missing = order.count - here - coming.size
        val isRefused = order.reclaimable && missing > 0 && nanos < reclaimableFrom
        schedule.onSent(order, nanos).onOutcome(if (isRefused) DutyOutcome.CONFLICT else DutyOutcome.ACCEPTED)
        if (isRefused) return plan.onReclaimableRefused(nanos)
        repeat(missing) { pending.add(Pending(order.domain, order.reclaimable, nanos + seconds(4))) }
        if (missing < 0) {
            pending.removeAll(coming.takeLast(-missing).toSet())
            stop(order.domain, order.reclaimable, -missing - minOf(-missing, coming.size))
        }
    }

    private fun start(
        domain: FailureDomain,
        reclaimable: Boolean,
    ) {
        val upstream = ServingFixtures.upstream("e${started++}", domain.value, reclaimable = reclaimable)
        balancer.onRegistered(upstream, nanos)
    }

    private fun stop(
        domain: FailureDomain,
        reclaimable: Boolean,
        count: Int,
    ) {
        val some = balancer.upstreams.filter { it.upstream.domain == domain && it.upstream.reclaimable == reclaimable }.take(count)
        some.map { it.upstream.id }.forEach(balancer::onUnregistered)
    }

    private fun seconds(count: Int) = Duration.ofSeconds(count.toLong()).toNanos()

    private class Pending(
        val domain: FailureDomain,
        val reclaimable: Boolean,
        val readyNanos: Long,
    )

    companion object {
        const val ENGINE_TOKENS = 57_000.0
        private const val READING_SHARE = 0.8
        private const val MAX_LOAD = 0.95
        private const val BUSY_MILLIS = 60.0
        private const val SERVICE = "s"
        private const val STEP_NANOS = 200_000_000L
    }
}
