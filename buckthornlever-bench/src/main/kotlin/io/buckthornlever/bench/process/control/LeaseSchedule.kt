package io.buckthornlever.bench.process.control

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.core.process.lease.LeaseCommand
import io.buckthornlever.core.process.lease.LeaseEvent
import io.buckthornlever.core.process.lease.LeaseMachine
import io.buckthornlever.core.process.lease.LeaseSettings
import io.buckthornlever.core.process.lease.LeaseState
import io.buckthornlever.core.process.lease.StoredLease
import io.buckthornlever.core.process.membership.Moment
import kotlin.random.Random

/**
 * One generated schedule of pauses, lost answers, failed calls and drifting clocks, in steps of a tenth of a second. Each instance
 * that may order does so at once: to an engine that honours fencing numbers and to one that ignores them.
 */
internal class LeaseSchedule(
    seed: Long,
    private val instances: Int,
    private val settings: LeaseSettings,
    private val naive: Boolean,
) {
    private class Call(
        val node: Int,
        val due: Long,
        val command: LeaseCommand?,
    )

    private val random = Random(seed)
    private val machine = LeaseMachine(settings)
    private val states = Array(instances) { LeaseState(InstanceId("i$it"), 1) }
    private val naiveStates = Array(instances) { NaiveLease(it, settings.ttl.toMillis()) }
    private val drift = List(instances) { random.nextDouble(-MAX_DRIFT, MAX_DRIFT) }
    private val pausedUntil = LongArray(instances)
    private val nextNaiveCall = LongArray(instances)
    private val calls = ArrayList<Call>()
    private var storeVersion = 0L
    private var stored: StoredLease? = null
    private var naiveStored: NaiveLease.Record? = null
    private var millis = 0L
    private var lastOrderBy = -1
    private var lastOrderEnd = 0L
    private var highestFencing = 0L

    /** Orders accepted from two instances at overlapping times by an engine that ignores fencing numbers. */
    var overlaps = 0L
        private set

    /** Steps at which two instances may order. */
    var doubleHolders = 0L
        private set

    /** Orders with a fencing number below an earlier one of another holder. */
    var staleAccepted = 0L
        private set
    var orders = 0L
        private set

    fun run(steps: Int) {
        repeat(steps) {
            millis += STEP_MILLIS
            for (node in 0 until instances) {
                if (random.nextInt(PAUSE_ODDS) == 0) pausedUntil[node] = millis + random.nextLong(MAX_PAUSE_MILLIS)
                if (millis >= pausedUntil[node]) act(node)
            }
            val due = calls.filter { it.due <= millis && millis >= pausedUntil[it.node] }
            calls.removeAll(due)
            due.forEach { if (naive) completeNaive(it) else complete(it) }
            order()
        }
    }

    private fun localMillis(node: Int): Long = (millis * (1.0 + drift[node])).toLong()

    private fun moment(node: Int): Moment = Moment(localMillis(node) * NANOS_PER_MILLI, 0)

    private fun act(node: Int) {
        if (!naive) return step(node, LeaseEvent.Tick)
        if (millis < nextNaiveCall[node]) return
        nextNaiveCall[node] = millis + settings.renewInterval.toMillis()
        calls.add(Call(node, millis + delay(), null))
    }

    private fun step(node: Int, event: LeaseEvent) {
        val transition = machine.step(states[node], event, moment(node))
        states[node] = transition.state
        transition.commands.filter { it is LeaseCommand.Read || it is LeaseCommand.Write }
            .forEach { calls.add(Call(node, millis + delay(), it)) }
    }

    private fun complete(call: Call) {
        val fate = random.nextInt(FATES)
        when (val command = call.command) {
            is LeaseCommand.Write -> {
                if (fate == 0) return step(call.node, LeaseEvent.WriteFailed(command.record.token))
                val matches = stored?.version == command.expected
                if (matches) stored = StoredLease(ObjectVersion(++storeVersion), command.record)
                val delivered = matches && fate != 1
                val token = command.record.token
                step(
                    call.node,
                    if (delivered) LeaseEvent.WriteDone(token, ObjectVersion(storeVersion)) else LeaseEvent.WriteUncertain(token),
                )
            }

            else -> step(call.node, if (fate <= 1) LeaseEvent.ReadFailed else LeaseEvent.ReadDone(ObjectVersion(storeVersion), stored))
        }
    }

    /** Reads and writes in one call; the naive holder takes a failed call for a passing fault. */
    private fun completeNaive(call: Call) {
        if (random.nextInt(FATES) <= 1) return
        val record = naiveStates[call.node].read(naiveStored, localMillis(call.node)) ?: return
        naiveStored = record
        naiveStates[call.node].written(succeeded = true)
    }

    private fun order() {
        val holders = (0 until instances).filter { millis >= pausedUntil[it] && mayOrder(it, honoursFencing = true) }
        if (holders.size > 1) doubleHolders++
        holders.forEach { if (!naive) checkFencing(it) }
        holders.filter { mayOrder(it, honoursFencing = false) }.forEach { node ->
            orders++
            if (lastOrderBy != node && lastOrderBy >= 0 && millis < lastOrderEnd) overlaps++
            lastOrderBy = node
            lastOrderEnd = millis + settings.maxOrderDuration.toMillis()
        }
    }

    private fun checkFencing(node: Int) {
        val permit = machine.permit(states[node], true, moment(node)) ?: return
        if (permit.fencing < highestFencing) staleAccepted++
        highestFencing = maxOf(highestFencing, permit.fencing)
    }

    private fun mayOrder(node: Int, honoursFencing: Boolean): Boolean =
        if (naive) naiveStates[node].believesHolder else machine.permit(states[node], honoursFencing, moment(node)) != null

    private fun delay(): Long = if (random.nextInt(SLOW_ODDS) == 0) random.nextLong(MAX_DELAY_MILLIS) else STEP_MILLIS

    private companion object {
        const val STEP_MILLIS = 100L
        const val NANOS_PER_MILLI = 1_000_000L
        const val PAUSE_ODDS = 300
        const val MAX_PAUSE_MILLIS = 25_000L
        const val SLOW_ODDS = 20
        const val MAX_DELAY_MILLIS = 6_000L
        const val FATES = 12

        /** Two clocks differ by at most twice this over the time to live, which is below the clock error bound. */
        const val MAX_DRIFT = 0.02
    }
}
