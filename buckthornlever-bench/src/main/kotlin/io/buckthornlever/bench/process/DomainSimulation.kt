package io.buckthornlever.bench.process

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.Pool
import io.buckthornlever.api.process.PoolName
import io.buckthornlever.api.process.PoolTable
import io.buckthornlever.api.process.ServiceKind
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.api.request.WorkClass
import io.buckthornlever.api.version.VersionLabel
import io.buckthornlever.core.process.DomainPolicy
import io.buckthornlever.core.process.FailureDomains
import io.buckthornlever.core.process.LimitPartition
import io.buckthornlever.core.process.UpstreamEvent
import org.HdrHistogram.Histogram
import java.time.Duration
import java.time.Instant
import java.util.SplittableRandom
import java.util.TreeMap
import kotlin.math.ln

/** Nine entry instances and nine upstreams in three failure domains, one of which is lost for a minute and returns. */
internal class DomainSimulation(
    seed: Long,
    private val loss: DomainLoss,
    private val naive: Boolean,
) {
    private val loop = EventLoop()
    private val random = SplittableRandom(seed)
    private val upstreams =
        List(UPSTREAMS) { i ->
            val spec =
                UpstreamSpec(
                    UpstreamId("u$i"),
                    "http://u$i",
                    DOMAINS[i % 3],
                    VersionLabel("v"),
                    concurrency = CAPACITY,
                    coldConcurrency = 2,
                )
            SimulatedUpstream(spec, Duration.ofMillis(random.nextLong(3_000, 6_000)))
        }
    private val entries = List(ENTRIES) { Entry(InstanceId("i$it")) }
    private val live = entries.map { it.id }
    private val before = Histogram(MAX_MICROS, 3)
    private val during = Histogram(MAX_MICROS, 3)
    private val after = Histogram(MAX_MICROS, 3)
    private var lookups = 0
    private var answered = 0
    private var longLost = 0
    private var newWorkAfterStop = 0
    private var overLimitBeforeReturn = 0

    private inner class Entry(
        val id: InstanceId,
    ) {
        val policy: DomainPolicy = if (naive) ImmediateReturn() else FailureDomains()
        val inFlight = HashMap<SimulatedUpstream, Int>()
        val queue = TreeMap<Int, ArrayDeque<SimulatedCall>>()

        fun share(upstream: SimulatedUpstream): Int {
            val limit = policy.limit(upstream.spec.id)
            return if (naive) limit else LimitPartition.share(limit, upstream.spec.id, id, live)
        }

        fun enqueue(call: SimulatedCall) {
            val priority = if (naive) 0 else -call.work.ordinal.coerceAtMost(2)
            queue.getOrPut(priority) { ArrayDeque() }.add(call)
            drain()
        }

        fun drain() {
            queue.values.forEach { calls ->
                while (calls.isNotEmpty() && dispatch(this, calls.first())) calls.removeFirst()
            }
        }
    }

    fun run(): DomainResult {
        entries.forEach { it.policy.configure(table(emptyList()), loop.clock.now()) }
        upstreams.forEach { report(it) }
        entries.forEachIndexed { i, entry ->
            loop.every(SECOND, Duration.ofMillis(100L + i * 90)) {
                entry.policy.tick(loop.clock.now())
                entry.drain()
            }
        }
        upstreams.forEachIndexed { i, upstream -> loop.every(SECOND, Duration.ofMillis(50L + i * 100)) { report(upstream) } }
        arrive(WorkClass.LOOKUP, LOOKUPS_PER_SECOND) { exponential(LOOKUP_SECONDS) }
        arrive(WorkClass.LONG, LONG_PER_SECOND) { exponential(LONG_SECONDS) }
        loop.after(LOST_AT, ::lose)
        loop.after(RETURNED_AT, ::giveBack)
        loop.runUntil(Instant.EPOCH.plus(ARRIVALS_END).plus(Duration.ofSeconds(60)))
        val overLimit = upstreams.sumOf { it.overLimit } - overLimitBeforeReturn
        return DomainResult(
            loss,
            lookups,
            lookups - answered,
            longLost,
            p95(before),
            p95(during),
            p95(after),
            overLimit,
            newWorkAfterStop,
        )
    }

    private fun arrive(
        work: WorkClass,
        perSecond: Double,
        length: () -> Duration,
    ) {
        loop.after(exponential(1 / perSecond)) {
            val now = loop.clock.now()
            if (now < Instant.EPOCH.plus(ARRIVALS_END)) arrive(work, perSecond, length)
            if (work == WorkClass.LOOKUP) lookups++
            entries[random.nextInt(ENTRIES)].enqueue(SimulatedCall(work, now, length()))
        }
    }

    /** Sends the call to the least loaded upstream that may take it; false when it has to wait. */
    private fun dispatch(
        entry: Entry,
        call: SimulatedCall,
    ): Boolean {
        val places = upstreams.associateWith { entry.share(it) }.filterValues { it > 0 }
        if (!entry.policy.admits(call.work, entry.inFlight.values.sum(), places.values.sum())) return false
        val free = places.filter { (entry.inFlight[it.key] ?: 0) < it.value }
        val untried = free.filterKeys { it.spec.failureDomain !in call.tried }.ifEmpty { free }
        val chosen = untried.minByOrNull { (entry.inFlight[it.key] ?: 0).toDouble() / it.value }?.key ?: return false
        send(entry, chosen, call)
        return true
    }

    private fun send(
        entry: Entry,
        upstream: SimulatedUpstream,
        call: SimulatedCall,
    ) {
        val now = loop.clock.now()
        call.attempts++
        if (lostDomain(upstream) && now > Instant.EPOCH.plus(LOST_AT).plus(STOP_LIMIT) &&
            now < Instant.EPOCH.plus(RETURNED_AT)
        ) {
            newWorkAfterStop++
        }
        if (!upstream.up) return loop.after(CONNECT_FAILURE) { failed(entry, upstream, call, UpstreamEvent.Failed) }
        if (!upstream.accepts(now)) return loop.after(CONNECT_FAILURE) { failed(entry, upstream, call, UpstreamEvent.Refused) }
        upstream.running.add(call)
        entry.inFlight.merge(upstream, 1, Int::plus)
        loop.after(call.length) {
            entry.inFlight.merge(upstream, -1, Int::plus)
            if (upstream.running.remove(call)) succeeded(entry, upstream, call) else failed(entry, upstream, call, UpstreamEvent.Failed)
        }
    }

    private fun succeeded(
        entry: Entry,
        upstream: SimulatedUpstream,
        call: SimulatedCall,
    ) {
        val now = loop.clock.now()
        entry.policy.onEvent(upstream.spec.id, UpstreamEvent.Answered, now)
        entry.drain()
        if (call.work != WorkClass.LOOKUP) return
        answered++
        val arrived = Duration.between(Instant.EPOCH, call.arrivedAt)
        val histogram = if (arrived < LOST_AT) {
            before
        } else if (arrived < RETURNED_AT) {
            during
        } else {
            after
        }
        histogram.recordValue((Duration.between(call.arrivedAt, now).toNanos() / 1_000).coerceAtMost(MAX_MICROS))
    }

    private fun failed(
        entry: Entry,
        upstream: SimulatedUpstream,
        call: SimulatedCall,
        event: UpstreamEvent,
    ) {
        entry.policy.onEvent(upstream.spec.id, event, loop.clock.now())
        call.tried.add(upstream.spec.failureDomain)
        if (call.attempts < MAX_ATTEMPTS) return entry.enqueue(call)
        if (call.work == WorkClass.LONG) longLost++
        entry.drain()
    }

    private fun lose() {
        val lost = upstreams.filter(::lostDomain)
        when (loss) {
            DomainLoss.OPERATOR -> everywhere { it.policy.configure(table(listOf(DOMAINS[1])), loop.clock.now()) }
            DomainLoss.RECLAIM -> {
                val ends = loop.clock.now().plus(NOTICE)
                everywhere { entry -> lost.forEach { entry.policy.onEvent(it.spec.id, UpstreamEvent.ReclaimNotice(ends), loop.clock.now()) } }
                lost.forEach { it.leaving = true }
                loop.after(NOTICE) { lost.forEach(::end) }
            }
            DomainLoss.SUDDEN -> lost.forEach(::end)
        }
    }

    private fun giveBack() {
        overLimitBeforeReturn = upstreams.sumOf { it.overLimit }
        upstreams.filter(::lostDomain).forEach { it.start(loop.clock.now()) }
        if (loss == DomainLoss.OPERATOR) everywhere { it.policy.configure(table(emptyList()), loop.clock.now()) }
    }

    /** Runs [action] on every entry instance after up to a second, as gossip takes. */
    private fun everywhere(
        action: (Entry) -> Unit,
    ) = entries.forEach { loop.after(Duration.ofMillis(random.nextLong(50, 1_000))) { action(it) } }

    /** Work that the upstream was running fails on its callers' connections at once. */
    private fun end(upstream: SimulatedUpstream) {
        upstream.end()
    }

    private fun report(upstream: SimulatedUpstream) {
        if (!upstream.up) return
        val capacity = upstream.capacity(loop.clock.now())
        val event = UpstreamEvent.Reported(capacity, capacity <= upstream.spec.coldConcurrency, upstream.leaving)
        entries.forEach { entry ->
            loop.after(Duration.ofMillis(random.nextLong(1, 800))) { entry.policy.onEvent(upstream.spec.id, event, loop.clock.now()) }
        }
    }

    private fun lostDomain(upstream: SimulatedUpstream): Boolean = upstream.spec.failureDomain == DOMAINS[1]

    private fun table(out: List<FailureDomain>): PoolTable =
        PoolTable(1, listOf(Pool(PoolName("p"), ServiceKind.PLAIN, upstreams.map { it.spec })), out)

    private fun exponential(seconds: Double): Duration = Duration.ofNanos((-ln(1 - random.nextDouble()) * seconds * 1e9).toLong())

    private fun p95(histogram: Histogram): Duration = Duration.ofNanos(histogram.getValueAtPercentile(95.0) * 1_000)

    companion object {
        const val UPSTREAMS = 9
        const val ENTRIES = 9
        const val CAPACITY = 18
        const val LOOKUPS_PER_SECOND = 300.0
        const val LOOKUP_SECONDS = 0.03
        const val LONG_PER_SECOND = 13.0
        const val LONG_SECONDS = 6.0
        private const val MAX_ATTEMPTS = 4
        private const val MAX_MICROS = 120_000_000L
        private val DOMAINS = listOf("d0", "d1", "d2").map { FailureDomain(it) }
        private val SECOND = Duration.ofSeconds(1)
        private val LOST_AT = Duration.ofSeconds(60)
        private val RETURNED_AT = Duration.ofSeconds(120)
        private val ARRIVALS_END = Duration.ofSeconds(200)
        private val NOTICE = Duration.ofSeconds(5)
        private val STOP_LIMIT = Duration.ofSeconds(3)
        private val CONNECT_FAILURE = Duration.ofMillis(2)
    }
}
