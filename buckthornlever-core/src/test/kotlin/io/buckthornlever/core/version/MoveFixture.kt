package io.buckthornlever.core.version

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.Pool
import io.buckthornlever.api.process.PoolName
import io.buckthornlever.api.process.PoolTable
import io.buckthornlever.api.process.RouteName
import io.buckthornlever.api.process.ServiceKind
import io.buckthornlever.api.version.MoveId
import io.buckthornlever.api.version.VersionLabel
import io.buckthornlever.api.version.VersionMove
import java.time.Duration
import java.time.Instant

/** A ten-minute move, and factory functions for its outcomes, controllers and leases. */
internal object MoveFixture {
    val START: Instant = Instant.parse("2026-01-01T00:00:00Z")
    val DUE: Instant = START.plusSeconds(600)
    val POOL = PoolName("models")
    val MOVE = VersionMove(VersionLabel("v1"), VersionLabel("v2"), START.toString(), DUE.toString(), 5)
    val ID = MoveId.of(POOL, MOVE)
    val TABLE = PoolTable(1, listOf(Pool(POOL, ServiceKind.PLAIN, move = MOVE)))
    val SELF = InstanceId("a")

    fun outcome(
        new: Boolean,
        failed: Boolean = false,
        millis: Long = 10,
        route: String = "r",
        underLoad: Boolean = false,
    ): Outcome =
        Outcome(POOL, RouteName(route), if (new) MOVE.to else MOVE.from, failed, Duration.ofMillis(millis), underLoad)

    fun moves(id: String = "a"): VersionMoves = VersionMoves(InstanceId(id)).also { it.updateTable(TABLE) }

    fun lease(
        now: Instant,
        fencing: Long = 1,
    ): HeldLease = HeldLease(fencing, now.plusSeconds(10))
}
