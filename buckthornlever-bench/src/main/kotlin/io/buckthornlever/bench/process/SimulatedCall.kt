package io.buckthornlever.bench.process

import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.request.WorkClass
import java.time.Duration
import java.time.Instant

/**
 * One request of a caller.
 *
 * @property attempts dispatches to upstreams
 * @property tried failure domains in which an attempt failed; a repetition uses another one if it can
 */
internal class SimulatedCall(
    val work: WorkClass,
    val arrivedAt: Instant,
    val length: Duration,
) {
    var attempts = 0
    val tried = HashSet<FailureDomain>()
}
