package io.buckthornlever.core.process

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.PoolTable
import io.buckthornlever.api.request.WorkClass
import java.time.Instant

/** Decides how much work upstreams may have while failure domains leave and return. */
public interface DomainPolicy {
    /** Takes over a new revision of the pool table. */
    public fun configure(
        table: PoolTable,
        now: Instant,
    )

    /** Takes note of [event] at [upstream]. */
    public fun onEvent(
        upstream: UpstreamId,
        event: UpstreamEvent,
        now: Instant,
    )

    /** Advances timers; to be called about once a second. */
    public fun tick(now: Instant): List<DomainCommand>

    /** Requests at once that all entry instances together may have on [upstream]; 0 when it takes no new work. */
    public fun limit(upstream: UpstreamId): Int

    /** Whether a request of [work] may be dispatched while [used] of [available] places are taken; it is queued otherwise. */
    public fun admits(
        work: WorkClass,
        used: Int,
        available: Int,
    ): Boolean
}
