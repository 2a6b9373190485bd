package io.buckthornlever.core.serving

import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.serving.InstanceRecord
import io.buckthornlever.api.serving.QuotaHoldings
import io.buckthornlever.api.serving.RecordedCeilings
import io.buckthornlever.api.serving.ServedAccount
import java.time.Duration
import java.util.PriorityQueue
import java.util.Random

/**
 * Instances that charge requests of one account at each other over a network that delays, loses and duplicates messages, with a store
 * for the allocation and the ceilings. Time is simulated: each instance has a monotonic clock that may stand still while it is suspended.
 *
 * @param count number of instances, which are named i0, i1, ...
 */
internal class QuotaNetwork(
    count: Int,
    private val account: ServedAccount,
    private val bounds: QuotaBounds,
    private val random: Random,
    private val inAdvance: Boolean = true,
) {
    private val events = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.number })
    private var eventCount = 0L
    private val allocator = QuotaAllocator(bounds)
    private val instances = (0 until count).associate { "i$it" to Instance("i$it") }
    private val runs = ArrayList<Run>()
    private val storedCeilings = HashMap<String, RecordedCeilings>()
    private var stored: QuotaHoldings? = null
    private var copy: QuotaHoldings? = null
    private var copiedAt = Long.MIN_VALUE / 2
    private var era = 0

    val names = instances.keys.toList()

    /** Global time. */
    var now = 0L
        private set

    /** Fractions of messages that are lost, duplicated and late by up to two seconds. */
    var lossRate = 0.0
    var duplicateRate = 0.0
    var lateRate = 0.0

    /** Instances that exchange messages and store calls only among themselves, not with the others or the store. */
    val cutOff = HashSet<String>()

    /** Instances that send messages but receive none. */
    val deaf = HashSet<String>()

    /** True while the store answers nobody. */
    var isStoreAway = false

    /** Share of the charged requests that do not run. */
    var unrunRate = 0.0
    var messages = 0
        private set
    val outcomes = ArrayList<Outcome>()

    init {
        for (name in names) start(name)
        reallocate(names)
        // All instances have recorded their ceilings and read the allocation before the first request.
        advance(Duration.ofMillis(100))
    }

    /** Runs everything that happens within [duration]. */
    fun advance(duration: Duration) {
        val end = now + duration.toNanos()
        while (events.isNotEmpty() && events.peek().at <= end) {
            val event = events.poll()
            now = maxOf(now, event.at)
            event.action()
        }
        now = end
    }

    fun start(name: String) {
        val instance = instances.getValue(name)
        if (instance.process != null) return
        instance.isFrozen = false
        instance.held.clear()
        val process = Process(instance)
        instance.process = process
        process.followStore()
    }

    fun kill(name: String) {
        instances.getValue(name).process = null
    }

    fun isRunning(name: String): Boolean = instances.getValue(name).process != null

    /** Stops the process [name] for [duration]; its clock goes on, and what arrives is handled afterwards. */
    fun freeze(
        name: String,
        duration: Duration,
    ) {
        val instance = instances.getValue(name)
        if (instance.process == null || instance.isFrozen) return
        instance.isFrozen = true
        schedule(duration.toNanos()) { instance.thaw() }
    }

    /** Suspends the machine of [name] for [duration], which its monotonic clock does not count. */
    fun suspend(
        name: String,
        duration: Duration,
    ) {
        val instance = instances.getValue(name)
        if (instance.process == null || instance.isFrozen) return
        instance.isFrozen = true
        schedule(duration.toNanos()) {
            instance.clockLag += duration.toNanos()
            instance.wasSuspended = true
            instance.thaw()
        }
    }

    /** Has the lease holder replace the allocation as if only the instances [live] were alive. */
    fun reallocate(live: Collection<String>) {
        if (isStoreAway || live.isEmpty()) return
        allocator.next(stored, listOf(account), live.map { InstanceRecord(it, "h", 1, FailureDomain("d")) })?.let { stored = it }
    }

    /** Takes a copy of the allocation. */
    fun backUp() {
        copy = stored
        copiedAt = now
    }

    /**
     * Restores the allocation from its copy if that is a few seconds old. Ceilings are not restored: their writers write them again
     * at once, and those of an instance that is down at a restore may be lost, see quota-demand.md.
     */
    fun restore() {
        if (now - copiedAt > MAX_COPY_AGE_NANOS) return
        stored = copy
        era++
    }

    /** Sends a request of [cost] units to [name]. */
    fun request(
        name: String,
        cost: Double,
        priority: Int = 0,
        maxWait: Duration = Duration.ofMillis(125),
    ) {
        val sent = now
        instances.getValue(name).run { process ->
            process.requester.charge(account, cost, priority, maxWait, process.nanos) { decision ->
                onDecided(process, decision, name, cost, priority, sent)
            }
            process.scheduleTimer()
        }
    }

    private fun onDecided(
        process: Process,
        decision: QuotaDecision,
        name: String,
        cost: Double,
        priority: Int,
        sent: Long,
    ) {
        val isCharged = decision is QuotaDecision.ChargedLocally || decision is QuotaDecision.ChargedToCredit
        if (isCharged && random.nextDouble() < unrunRate) {
            val delay = random.nextInt(300) * MILLI
            schedule(delay) {
                if (process.instance.process === process && !process.instance.isFrozen) process.requester.refund(decision, process.nanos)
            }
            return
        }
        if (isCharged) runs.add(Run(now, cost, priority))
        outcomes.add(Outcome(name, sent, now - sent, cost, priority, decision))
    }

    /** Largest number of units that ran in any window. */
    fun maxWindowUsage(): Double {
        var worst = 0.0
        var sum = 0.0
        var first = 0
        for (run in runs) {
            sum += run.cost
            while (runs[first].at <= run.at - bounds.window.toNanos()) sum -= runs[first++].cost
            worst = maxOf(worst, sum)
        }
        return worst
    }

    /** Units of requests of [priority], or of all, that ran in the last [duration]. */
    fun ran(
        duration: Duration,
        priority: Int? = null,
    ): Double = runs.filter { it.at > now - duration.toNanos() && (priority == null || it.priority == priority) }.sumOf { it.cost }

    /** Fraction of the shares whose holders are in [names]. */
    fun heldBy(names: Collection<String>): Double {
        val shares = stored?.accounts?.get(account.id)?.shares ?: return 0.0
        return shares.count { it.holder in names }.toDouble() / shares.size
    }

    private fun schedule(
        delay: Long,
        action: () -> Unit,
    ) {
        events.add(Event(now + delay, eventCount++, action))
    }

    private fun deliver(
        from: String,
        to: String,
        handle: (Process) -> Unit,
    ) {
        messages++
        if ((from in cutOff) != (to in cutOff) || to in deaf || random.nextDouble() < lossRate) return
        val copies = if (random.nextDouble() < duplicateRate) 2 else 1
        repeat(copies) {
            val late = if (random.nextDouble() < lateRate) random.nextInt(2_000) * MILLI else 0
            schedule(MILLI + random.nextInt(3_000) * MICRO + late) {
                if ((from in cutOff) == (to in cutOff)) instances.getValue(to).run(handle)
            }
        }
    }

    private fun reachesStore(name: String): Boolean = !isStoreAway && name !in cutOff

    /** One machine; [process] is null while it is down. */
    private inner class Instance(
        val name: String,
    ) {
        var process: Process? = null
        var isFrozen = false
        var wasSuspended = false
        var clockLag = 0L
        val held = ArrayList<(Process) -> Unit>()

        /** Has the process handle something, now or once it is no longer frozen. */
        fun run(action: (Process) -> Unit) {
            val running = process ?: return
            if (isFrozen) {
                held.add(action)
                return
            }
            if (wasSuspended) {
                wasSuspended = false
                running.onPause()
            }
            action(running)
        }

        fun thaw() {
            if (!isFrozen) return
            isFrozen = false
            // A process that was stopped finds messages and timers in any order.
            val queued = held.shuffled(random)
            held.clear()
            for (action in queued) run(action)
        }
    }

    private inner class Process(
        val instance: Instance,
    ) : QuotaRequesterPort {
        private val name = instance.name
        private val incarnation = eventCount++
        val nanos: Long get() = now - instance.clockLag
        private val ceilings = QuotaCeilings(bounds.retention, nanos)
        private val limiter = LocalQuotaLimiter(name, bounds, nanos, ceilings, inAdvance)
        val requester = QuotaRequester(limiter, QuotaHolderSelector(name), this, { false }, inAdvance) { random.nextDouble() }
        private val lender = QuotaLender(limiter) { account, cost -> limiter.requestRaise(account, cost, nanos).also { recordCeilings() } }
        private var isWriting = false
        private var timerAt = Long.MAX_VALUE
        private var followedEra = era

        fun scheduleTimer() {
            val next = requester.nextTime
            if (next >= timerAt) return
            timerAt = next
            schedule(maxOf(0, next - nanos)) {
                own {
                    if (timerAt == next) timerAt = Long.MAX_VALUE
                    requester.onTime(nanos)
                    scheduleTimer()
                }
            }
        }

        /** Runs [action] unless this process has ended. */
        private fun own(action: () -> Unit) = instance.run { if (it === this) action() }

        fun onPause() {
            limiter.onPause(nanos)
            requester.onPause(nanos)
        }

        /** Reads the store about once a second, as watches confirm what they have delivered. */
        fun followStore() {
            val sent = nanos
            if (reachesStore(name)) {
                schedule(2 * MILLI + random.nextInt(4) * MILLI) {
                    val holdings = stored
                    val readEra = era
                    val found = storedCeilings[name]
                    own { onStoreRead(sent, holdings, readEra, found) }
                }
            }
            schedule(STORE_INTERVAL_MILLIS * MILLI / 2 + random.nextInt(STORE_INTERVAL_MILLIS) * MILLI) { own { followStore() } }
            recordCeilings()
        }

        private fun onStoreRead(
            sent: Long,
            holdings: QuotaHoldings?,
            readEra: Int,
            found: RecordedCeilings?,
        ) {
            if (readEra < followedEra) return
            val before = limiter.holdings
            val next = if (holdings != null && readEra > followedEra && before != null) allocator.restored(holdings, before) else holdings
            followedEra = readEra
            if (next != null && next != before) limiter.update(next, nanos)
            limiter.onConfirmed(sent)
            if (!ceilings.isRecorded && !isWriting) ceilings.onRead(found ?: RecordedCeilings(0.0))
            recordCeilings()
        }

        private fun recordCeilings() {
            if (isWriting || !reachesStore(name)) return
            val next = ceilings.next(nanos) { limiter.usedFractions({ account }, nanos) } ?: return
            isWriting = true
            ceilings.onWriteStarted(next)
            schedule(2 * MILLI) {
                val isStored = reachesStore(name)
                if (isStored) storedCeilings[name] = next
                schedule(2 * MILLI) {
                    own {
                        isWriting = false
                        if (isStored) {
                            ceilings.onWritten(next)
                        } else {
                            ceilings.onRejected()
                        }
                    }
                }
            }
        }

        override fun ask(
            holder: String,
            ask: CreditAsk,
        ): Boolean {
            deliver(name, holder) { other ->
                val answer = other.lender.answer(name, incarnation, ask, account, other.nanos)
                other.instance.name.let { sender -> deliver(sender, name) { it.onAnswer(incarnation, sender, answer) } }
            }
            return true
        }

        private fun onAnswer(
            to: Long,
            sender: String,
            answer: CreditAnswer,
        ) {
            if (to != incarnation) return
            requester.onAnswer(sender, answer, nanos)
            scheduleTimer()
        }

        override fun giveBack(
            holder: String,
            id: Long,
            total: Double,
        ) = deliver(name, holder) { it.lender.onReturned(name, incarnation, id, total, it.nanos) }

        override fun raiseCeiling(
            account: ServedAccount,
            cost: Double,
        ) {
            limiter.requestRaise(account, cost, nanos)
            recordCeilings()
        }
    }

    private class Event(
        val at: Long,
        val number: Long,
        val action: () -> Unit,
    )

    private class Run(
        val at: Long,
        val cost: Double,
        val priority: Int,
    )

    /** Outcome of a request that was sent at [sentAt] and decided [waited] nanoseconds later. */
    class Outcome(
        val instance: String,
        val sentAt: Long,
        val waited: Long,
        val cost: Double,
        val priority: Int,
        val decision: QuotaDecision,
    ) {
        val isCharged: Boolean get() = decision is QuotaDecision.ChargedLocally || decision is QuotaDecision.ChargedToCredit
    }

    private companion object {
        const val MILLI = 1_000_000L
        const val MICRO = 1_000L
        const val MAX_COPY_AGE_NANOS = 6_000 * MILLI
        const val STORE_INTERVAL_MILLIS = 1_000
    }
}
