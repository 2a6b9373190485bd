package io.buckthornlever.daemon.version

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.version.MoveState
import io.buckthornlever.api.version.MoveStatus
import io.buckthornlever.core.process.FailureDomains
import io.buckthornlever.core.process.LimitPartition
import io.buckthornlever.core.process.UpstreamEvent
import io.buckthornlever.core.version.HeldLease
import io.buckthornlever.core.version.MoveCommand
import io.buckthornlever.core.version.Outcome
import io.buckthornlever.core.version.VersionMoves
import io.buckthornlever.core.version.VersionStop
import io.buckthornlever.daemon.process.ConfigurationHolder
import io.buckthornlever.daemon.process.Daemon
import io.buckthornlever.daemon.process.LogEvent
import io.buckthornlever.daemon.process.control.ControlPlane
import io.buckthornlever.gateway.process.EventLog
import org.jctools.queues.MpscArrayQueue
import java.time.Duration
import java.time.Instant
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/**
 * Owns the state of version moves and failure domains on one thread, which never blocks on the network. Other threads pass events
 * through a bounded queue, which drops events when it is full, and read the published [snapshot].
 */
internal class TrafficControl(
    private val self: InstanceId,
    private val clock: Clock,
    private val configuration: ConfigurationHolder,
    private val statuses: MoveStatusStore,
    private val exchange: MoveExchange,
    private val control: () -> ControlPlane,
    private val log: EventLog,
) : AutoCloseable {
    private val moves = VersionMoves(self)
    private val domains = FailureDomains()
    private val inbox = MpscArrayQueue<() -> Unit>(INBOX_CAPACITY)
    private val loop = Executors.newSingleThreadScheduledExecutor { Thread(it, "traffic-control").apply { isDaemon = true } }
    private val storeCalls = Executors.newSingleThreadExecutor { Thread(it, "traffic-store").apply { isDaemon = true } }
    private var poolsRevision = -1L
    private var loggedStops = emptySet<VersionStop>()

    /** Decisions currently in effect. */
    @Volatile
    var snapshot: TrafficSnapshot = TrafficSnapshot()
        private set

    fun start() {
        exchange.start { messages -> enqueue { merge(messages) } }
        loop.scheduleWithFixedDelay(::guardedTick, 0, TICK.toMillis(), TimeUnit.MILLISECONDS)
    }

    override fun close() {
        loop.shutdownNow()
        storeCalls.shutdownNow()
        exchange.close()
    }

    /** Queues [outcome] as evidence about its version. */
    fun observe(outcome: Outcome) = enqueue { moves.observe(outcome, clock.now()) }

    /** Queues [event] of [upstream]. */
    fun observe(
        upstream: UpstreamId,
        event: UpstreamEvent,
    ) = enqueue { domains.onEvent(upstream, event, clock.now()) }

    private fun merge(messages: MoveMessages) {
        messages.evidence.forEach { moves.mergeEvidence(it, clock.now()) }
        messages.stops.forEach(moves::mergeStop)
        messages.statuses.forEach(moves::mergeStatus)
    }

    private fun enqueue(event: () -> Unit) {
        inbox.offer(event)
    }

    private fun guardedTick() {
        try {
            tick()
        } catch (e: RuntimeException) {
            // The executor would silently cancel the periodic task.
            log.writeFailure(LogEvent.INTERNAL_ERROR, e, "thread" to "traffic-control")
        }
    }

    private fun tick() {
        val now = clock.now()
        val pools = configuration.get().pools
        if (pools.revision != poolsRevision) {
            poolsRevision = pools.revision
            moves.updateTable(pools)
            domains.configure(pools, now)
        }
        inbox.drain { it() }
        domains.tick(now)
        val commands = moves.tick(now, heldLease(now))
        commands.forEach(::execute)
        send(commands)
        logNewStops()
        val instances = control().liveMembers.map { it.id }.ifEmpty { listOf(self) }
        val limits =
            pools.pools
                .flatMap { it.upstreams }
                .filter { domains.isLimited(it.id) }
                .associate { it.id to LimitPartition.share(domains.limit(it.id), it.id, self, instances) }
        snapshot = TrafficSnapshot(moves.weights(now), limits)
    }

    private fun execute(command: MoveCommand) {
        when (command) {
            is MoveCommand.SendEvidence, is MoveCommand.GossipStop, is MoveCommand.GossipStatus -> Unit
            is MoveCommand.ReadStatus -> callStore { statuses.read(command) }
            is MoveCommand.WriteStatus -> callStore { statuses.write(command) }
            is MoveCommand.ReportEnd -> logMoveEnd(command.status)
        }
    }

    private fun send(commands: List<MoveCommand>) {
        val evidence = commands.filterIsInstance<MoveCommand.SendEvidence>().map { it.delta }
        val stops = commands.filterIsInstance<MoveCommand.GossipStop>().map { it.stop }
        val records = commands.filterIsInstance<MoveCommand.GossipStatus>().map { it.status }
        if (evidence.isNotEmpty() || stops.isNotEmpty() || records.isNotEmpty()) exchange.send(MoveMessages(evidence, stops, records))
    }

    /** Returns the control lease with its end as wall-clock time, which the state machines use for schedules; null when not held. */
    private fun heldLease(now: Instant): HeldLease? {
        val permit = control().permit(Daemon.CONTROL_LEASE, honoursFencing = true) ?: return null
        return HeldLease(permit.fencing, now.plusNanos(permit.notAfterNanos - clock.monotonicNanos()))
    }

    private fun callStore(call: () -> (VersionMoves) -> Unit) {
        storeCalls.execute {
            val update = call()
            enqueue { update(moves) }
        }
    }

    private fun logMoveEnd(status: MoveStatus) {
        val event = if (status.state == MoveState.DONE) LogEvent.MOVE_DONE else LogEvent.MOVE_ROLLED_BACK
        log.write(event, "pool" to status.move.pool, "version" to status.move.to, "reasons" to status.reasons.joinToString())
    }

    private fun logNewStops() {
        val current = moves.stops().toSet()
        current.filter { stop -> loggedStops.none { it.move == stop.move } }.forEach {
            log.write(LogEvent.VERSION_STOPPED, "pool" to it.move.pool, "version" to it.move.to, "by" to it.raisedBy, "reason" to it.reason)
        }
        loggedStops = current
    }

    private companion object {
        const val INBOX_CAPACITY = 8_192
        val TICK: Duration = Duration.ofMillis(100)
    }
}
