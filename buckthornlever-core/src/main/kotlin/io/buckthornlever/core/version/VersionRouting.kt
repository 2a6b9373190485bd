package io.buckthornlever.core.version

import io.buckthornlever.api.process.PoolName
import java.time.Instant

/** Decides how requests are divided between the versions of a move. */
public interface VersionRouting {
    /** Counts the result of an attempt that this instance made. */
    public fun observe(
        outcome: Outcome,
        now: Instant,
    )

    /** Evaluates new evidence and timers; to be called several times a second. [lease] is null unless this instance holds it. */
    public fun tick(
        now: Instant,
        lease: HeldLease?,
    ): List<MoveCommand>

    /** Division of new requests per pool with a move; other pools are not listed. */
    public fun weights(now: Instant): Map<PoolName, VersionWeights>
}
