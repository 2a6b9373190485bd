package io.buckthornlever.core.process

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.PoolTable
import io.buckthornlever.api.request.WorkClass
import java.time.Instant

/** Limits the load of upstreams while failure domains leave and return. */
public interface DomainPolicy {
    /** Applies a new revision of the pool table. */
    public fun configure(
        table: PoolTable,
        now: Instant,
    )

    /** Handles [event] of [upstream]. */
    public fun onEvent(
        upstream: UpstreamId,
        event: UpstreamEvent,
        now: Instant,
    )

    /** Advances timers and returns the commands that are due; call it about once a second. */
    public fun tick(now: Instant): List<DomainCommand>

    /** Concurrent requests that all entry instances together may have on [upstream]; 0 when it takes no new requests. */
    public fun limit(upstream: UpstreamId): Int

    /** Whether a request of class [work] may be dispatched while [used] of [available] slots are taken; otherwise it is queued. */
    public fun admits(
        work: WorkClass,
        used: Int,
        available: Int,
    ): Boolean
}
