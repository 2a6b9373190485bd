package io.buckthornlever.gateway.process

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.serving.DutyOutcome
import io.buckthornlever.api.serving.InstanceRecord
import io.buckthornlever.api.serving.SingletonDuties
import io.buckthornlever.api.serving.StateFailure
import io.buckthornlever.api.serving.StateKind
import io.buckthornlever.api.serving.StateObject
import io.buckthornlever.api.serving.StateStore
import io.buckthornlever.api.serving.StateValue
import io.buckthornlever.api.serving.UpstreamOrder
import io.buckthornlever.api.serving.UsageWindow
import io.buckthornlever.core.process.ManualClock
import io.buckthornlever.core.serving.LeaseCandidates
import io.buckthornlever.core.serving.UsageLedger
import java.time.Duration

/**
 * Instances that count requests and exchange their counts as the gateway does, over links and a store that a test can cut. Time
 * advances in steps of [STEP].
 */
internal class UsageSite(
    names: List<String>,
) {
    val clock = ManualClock()
    val store = InMemoryStore()
    val startMillis = clock.now().toEpochMilli()
    val nodes = names.associateWithTo(LinkedHashMap()) { Node(it, 1) }

    /** True if datagrams between the two instances are lost. */
    var isCut: (String, String) -> Boolean = { _, _ -> false }

    /** The store resets the connections of these instances, after it has carried out their writes. */
    var withoutStore: (String) -> Boolean = { false }

    /** Calls of these instances to the cloud API fail. */
    var withoutCloud: (String) -> Boolean = { false }

    /** All accepted reports with the time in milliseconds since the start. */
    val reports = ArrayList<Pair<Long, UsageWindow>>()

    /** Requests that started, by window. */
    val started = HashMap<Long, Long>()

    val holder: String? get() = nodes.values.singleOrNull { it.runner.fencing != null }?.name

    val elapsedMillis: Long get() = clock.now().toEpochMilli() - startMillis

    /** Advances to [untilMillis] after the start; each instance starts one request in each step. */
    fun runUntil(
        untilMillis: Long,
        atEachStep: () -> Unit = {},
    ) {
        while (elapsedMillis < untilMillis) {
            clock.advance(STEP)
            atEachStep()
            nodes.values.forEach { it.startRequest() }
            nodes.values.forEach { it.tick() }
            if (elapsedMillis % MESSAGE_MILLIS == 0L) nodes.values.forEach { it.sendMessages() }
        }
    }

    /** Ends the process of [name] without notice, and starts another one. */
    fun kill(name: String) {
        nodes[name] = Node(name, clock.now().toEpochMilli())
    }

    /** Stops the process of [name] with notice, and starts another one. */
    fun restart(name: String) {
        val node = nodes.getValue(name)
        node.stop()
        nodes[name] = Node(name, clock.now().toEpochMilli())
    }

    fun windowIndexAt(millis: Long): Long = Math.floorDiv(startMillis + millis, WINDOW.toMillis())

    /** End of window [index] in milliseconds since the start. */
    fun endOf(index: Long): Long = (index + 1) * WINDOW.toMillis() - startMillis

    /** Name of the instance that holds the lease as the store has it, whether it knows it or not. */
    fun holderInStore(): String? = (store.valueOf(StateKind.LEASES, "duties") as? StateValue.Lease)?.lease?.holder

    /** Windows that ended from [fromMillis] to [toMillis] and were not reported in time with the right sum. */
    fun wrongWindows(
        fromMillis: Long,
        toMillis: Long,
    ): Map<Long, String> {
        val wrong = LinkedHashMap<Long, String>()
        for (index in windowIndexAt(fromMillis)..windowIndexAt(toMillis - 1)) {
            val report = reports.firstOrNull { it.second.index == index }
            val count = report?.second?.counts?.get(ACCOUNT) ?: 0
            when {
                report == null -> wrong[index] = "not reported, ended at ${endOf(index)}"
                report.first > endOf(index) + LATE.toMillis() -> wrong[index] = "late by ${report.first - endOf(index) - LATE.toMillis()}"
                count != started[index] -> wrong[index] = "$count of ${started[index]}"
            }
        }
        return wrong
    }

    /** Windows with reports that differ. */
    fun conflictingWindows(): Set<Long> =
        reports.groupBy { it.second.index }.filterValues { all -> all.map { it.second.counts }.distinct().size > 1 }.keys

    inner class Node(
        val name: String,
        private val incarnation: Long,
    ) {
        private val ledger = UsageLedger(WINDOW.toMillis())
        private val exchange = UsageExchange(ledger, clock, GatewayMetrics())
        val runner =
            DutyRunner(
                name,
                clock,
                NodeStore(name),
                NodeDuties(name),
                ledger,
                WINDOW,
                LEASE,
                EventLog(name),
                LATE,
                { nodes.keys - name },
                ::sendMessages,
                { sendStatus(it, Duration.ZERO, true) },
            )
        private var holderName: String? = null
        private var holderFencing = Long.MIN_VALUE
        private var overviewAt = Long.MIN_VALUE / 2

        fun startRequest() {
            val millis = clock.now().toEpochMilli()
            ledger.onStarted(ACCOUNT, millis)
            started.merge(ledger.windowIndex(millis), 1L, Long::plus)
        }

        fun tick() = runner.tick(name in candidates())

        fun stop() {
            runner.resign()
            exchange.onEnded()
            sendMessages()
            (candidates() - name).forEach(::sendCompleteState)
        }

        private fun candidates(): Set<String> = LeaseCandidates.of(nodes.keys.map { InstanceRecord(it, "127.0.0.1", 1) })

        fun sendMessages() {
            val fencing = runner.fencing
            if (fencing != null) {
                sendOverview(fencing)
            } else {
                holderName?.let { sendState(it) }
            }
        }

        private fun sendOverview(fencing: Long) {
            for (peer in nodes.values - this) if (!isCut(name, peer.name)) peer.receiveOverview(this, fencing)
            runner.heldLease?.let { (version, left) -> sendStatus(version, left, false) }
        }

        private fun sendStatus(
            version: ObjectVersion,
            left: Duration,
            isLast: Boolean,
        ) {
            val ended = exchange.endedProcesses(runner.reportedThrough, nodes.keys, isLast)
            for (candidate in candidates() - name) {
                if (isCut(name, candidate)) continue
                val peer = nodes.getValue(candidate)
                peer.runner.onHolderAnnounced(version, left, runner.isRenewalUncertain)
                ended.forEach { peer.exchange.recordEnded(it) }
            }
        }

        private fun receiveOverview(
            sender: Node,
            fencing: Long,
        ) {
            if (fencing < holderFencing) return
            val now = clock.monotonicNanos()
            val wasSilent = now - overviewAt > Duration.ofSeconds(2).toNanos()
            overviewAt = now
            val isNew = fencing != holderFencing || wasSilent
            holderFencing = fencing
            holderName = sender.name
            val windows = sender.exchange.ownWindows(sender.runner.reportedThrough)
            exchange.record(sender.name, sender.incarnation, windows, sender.exchange.firstOpenWindow)
            runner.onHeldElsewhere(sender.runner.reportedThrough)
            if (isNew) sendCompleteState(sender.name)
        }

        private fun sendCompleteState(receiver: String) {
            sendState(receiver)
            if (isCut(name, receiver)) return
            exchange.endedProcesses(runner.reportedThrough, nodes.keys, true).forEach { nodes.getValue(receiver).exchange.recordEnded(it) }
        }

        private fun sendState(receiver: String) {
            if (isCut(name, receiver)) return
            nodes.getValue(
                receiver,
            ).exchange.record(name, incarnation, exchange.ownWindows(runner.reportedThrough), exchange.firstOpenWindow)
        }
    }

    private inner class NodeStore(
        private val name: String,
    ) : StateStore by store {
        override fun read(
            kind: StateKind,
            name: String,
            done: (Result<StateObject, StateFailure>) -> Unit,
        ) = if (withoutStore(this.name)) done(UNANSWERED) else store.read(kind, name, done)

        override fun create(
            kind: StateKind,
            name: String,
            value: StateValue,
            done: (Result<StateObject, StateFailure>) -> Unit,
        ) = store.create(kind, name, value) { done(if (withoutStore(this.name)) UNANSWERED else it) }

        override fun replace(
            kind: StateKind,
            name: String,
            expected: Long?,
            value: StateValue,
            done: (Result<StateObject, StateFailure>) -> Unit,
        ) = store.replace(kind, name, expected, value) { done(if (withoutStore(this.name)) UNANSWERED else it) }
    }

    private inner class NodeDuties(
        private val name: String,
    ) : SingletonDuties {
        override fun reportUsage(
            holder: String,
            fencing: Long,
            window: UsageWindow,
            done: (DutyOutcome) -> Unit,
        ) {
            if (withoutCloud(name)) return done(DutyOutcome.UNKNOWN)
            reports.add(elapsedMillis to window)
            done(DutyOutcome.ACCEPTED)
        }

        override fun orderUpstreams(
            holder: String,
            fencing: Long,
            order: UpstreamOrder,
            done: (DutyOutcome) -> Unit,
        ) = Unit
    }

    companion object {
        val STEP: Duration = Duration.ofMillis(200)
        val WINDOW: Duration = Duration.ofSeconds(5)
        val LATE: Duration = Duration.ofSeconds(10)
        val LEASE: Duration = Duration.ofSeconds(3)
        val ACCOUNT = AccountId("a")
        private const val MESSAGE_MILLIS = 400L
        private val UNANSWERED = Err(StateFailure.Unknown("connection reset"))
    }
}
