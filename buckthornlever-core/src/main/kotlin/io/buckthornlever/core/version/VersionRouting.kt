package io.buckthornlever.core.version

import io.buckthornlever.api.process.PoolName
import java.time.Instant

/** Decides how new requests are split between the two versions of a move. */
public interface VersionRouting {
    /** Records the outcome of an attempt made by this instance. */
    public fun observe(
        outcome: Outcome,
        now: Instant,
    )

    /** Evaluates new evidence and timers; must be called several times a second. [lease] is null unless this instance holds it. */
    public fun tick(
        now: Instant,
        lease: HeldLease?,
    ): List<MoveCommand>

    /** Split of new requests for each pool that has a move; pools without a move are absent. */
    public fun weights(now: Instant): Map<PoolName, VersionWeights>
}
