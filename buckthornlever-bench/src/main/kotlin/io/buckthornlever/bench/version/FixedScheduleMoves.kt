package io.buckthornlever.bench.version

import io.buckthornlever.api.process.PoolName
import io.buckthornlever.api.version.VersionMove
import io.buckthornlever.core.version.HeldLease
import io.buckthornlever.core.version.MoveCommand
import io.buckthornlever.core.version.Outcome
import io.buckthornlever.core.version.VersionRouting
import io.buckthornlever.core.version.VersionWeights
import java.time.Duration
import java.time.Instant

/** Naive baseline: the share grows evenly from the start to the due time, whatever the results are. */
internal class FixedScheduleMoves(
    private val pool: PoolName,
    private val move: VersionMove,
) : VersionRouting {
    override fun observe(
        outcome: Outcome,
        now: Instant,
    ) = Unit

    override fun tick(
        now: Instant,
        lease: HeldLease?,
    ): List<MoveCommand> = emptyList()

    override fun weights(now: Instant): Map<PoolName, VersionWeights> {
        val start = Instant.parse(move.startAt)
        val length = Duration.between(start, Instant.parse(move.dueAt)).toMillis()
        val permille = (Duration.between(start, now).toMillis() * 1_000 / length).coerceIn(0, 1_000)
        return mapOf(pool to VersionWeights(move.from, move.to, permille.toInt()))
    }
}
