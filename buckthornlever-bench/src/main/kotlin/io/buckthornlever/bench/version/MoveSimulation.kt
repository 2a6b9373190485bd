package io.buckthornlever.bench.version

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.Pool
import io.buckthornlever.api.process.PoolName
import io.buckthornlever.api.process.PoolTable
import io.buckthornlever.api.process.RouteName
import io.buckthornlever.api.process.ServiceKind
import io.buckthornlever.api.version.MoveState
import io.buckthornlever.api.version.VersionLabel
import io.buckthornlever.api.version.VersionMove
import io.buckthornlever.bench.process.EventLoop
import io.buckthornlever.core.version.HeldLease
import io.buckthornlever.core.version.MoveCommand
import io.buckthornlever.core.version.Outcome
import io.buckthornlever.core.version.VersionMoves
import io.buckthornlever.core.version.VersionRouting
import io.buckthornlever.core.version.VersionSelector
import java.time.Duration
import java.time.Instant

/** One move on nine entry instances that exchange evidence, stops and records with delay and loss. */
internal class MoveSimulation(
    private val scenario: MoveScenario,
    naive: Boolean,
) {
    private val loop = EventLoop()
    private val start = Instant.EPOCH.plus(WARM_UP)
    private val due = start.plus(scenario.duration)
    private val move = VersionMove(OLD, NEW, start.toString(), due.toString(), MoveScenario.BAD_SHARE_PERCENT)
    private val traffic = MoveTraffic(scenario)
    private val store = MoveStore { now -> scenario.storeDown?.let { Duration.between(start, now) in it } == true }
    private val ids = List(MoveTraffic.INSTANCES) { InstanceId("i$it") }
    private val routings: List<VersionRouting> = ids.map { if (naive) FixedScheduleMoves(POOL, move) else configured(it) }
    private val pickers = ids.map { VersionSelector(it) }
    private val use = listOf(UseMeter(), UseMeter())
    private val log = MoveLog(start, due)

    fun run(): MoveResult {
        loop.after(traffic.nextGap(), ::request)
        routings.indices.forEach { i -> loop.every(TICK, TICK.plusMillis(i * 17L)) { tick(i) } }
        loop.runUntil(due.plus(COOL_DOWN))
        val stopped = routings.filterIsInstance<VersionMoves>().let { all -> all.isNotEmpty() && all.all { it.stops().isNotEmpty() } }
        val recorded = store.status?.state == MoveState.ROLLED_BACK
        return log.result(scenario, store.status, rolledBack = if (store.available(loop.clock.now())) recorded else stopped)
    }

    private fun configured(id: InstanceId): VersionMoves =
        VersionMoves(id).also { it.updateTable(PoolTable(1, listOf(Pool(POOL, ServiceKind.PLAIN, move = move)))) }

    private fun request() {
        loop.after(traffic.nextGap(), ::request)
        val now = loop.clock.now()
        val at = traffic.instance()
        val route = traffic.route()
        val version = routings[at].weights(now)[POOL]?.let { pickers[at].select(POOL, ROUTES[route], it) } ?: OLD
        val new = version == NEW
        val used = use[if (new) 1 else 0].add(now)
        log.dispatched(now, new)
        val response = traffic.respond(route, new, used, Duration.between(start, now))
        loop.after(response.latency) {
            log.responded(loop.clock.now(), response.harmed)
            val outcome = Outcome(POOL, ROUTES[route], version, response.failed, response.latency, used >= MoveTraffic.HIGH_USE)
            routings[at].observe(outcome, loop.clock.now())
        }
    }

    private fun tick(instance: Int) {
        val now = loop.clock.now()
        val elapsed = Duration.between(start, now)
        if (lost(instance, elapsed)) return
        routings[instance].tick(now, lease(instance, now, elapsed)).forEach { execute(instance, it, now) }
        log.ended(now, store.status)
    }

    private fun lost(
        instance: Int,
        elapsed: Duration,
    ): Boolean = instance == 0 && scenario.holderChange?.let { elapsed >= it } == true

    private fun lease(
        instance: Int,
        now: Instant,
        elapsed: Duration,
    ): HeldLease? {
        val change = scenario.holderChange
        val holder = if (change == null || elapsed < change) 0 else 1
        // The successor waits until the lost holder's lease has expired.
        if (instance != holder) return null
        if (change != null && holder == 1 && elapsed < change.plus(LEASE)) return null
        return HeldLease(holder + 1L, now.plus(LEASE))
    }

    private fun execute(
        from: Int,
        command: MoveCommand,
        now: Instant,
    ) {
        val self = routings[from] as VersionMoves
        when (command) {
            is MoveCommand.SendEvidence -> toPeers(from) { it.mergeEvidence(command.delta, loop.clock.now()) }
            is MoveCommand.GossipStop -> toPeers(from) { it.mergeStop(command.stop) }
            is MoveCommand.GossipStatus -> toPeers(from) { it.mergeStatus(command.status) }
            is MoveCommand.ReadStatus -> if (store.available(now)) self.onStatusRead(POOL, store.status, store.version)
            is MoveCommand.WriteStatus -> self.onStatusWritten(command.status, store.write(command.status, command.expected, now))
            is MoveCommand.ReportEnd -> Unit
        }
    }

    private fun toPeers(
        from: Int,
        deliver: (VersionMoves) -> Unit,
    ) {
        routings.forEachIndexed { i, peer ->
            if (i == from || traffic.lost()) return@forEachIndexed
            loop.after(traffic.delay()) { deliver(peer as VersionMoves) }
        }
    }

    private companion object {
        val POOL = PoolName("models")
        val OLD = VersionLabel("v1")
        val NEW = VersionLabel("v2")
        val ROUTES = listOf(RouteName("lookup"), RouteName("note"), RouteName("packet"))
        val WARM_UP: Duration = Duration.ofSeconds(30)
        val COOL_DOWN: Duration = Duration.ofSeconds(20)
        val TICK: Duration = Duration.ofMillis(250)
        val LEASE: Duration = Duration.ofSeconds(6)
    }
}
