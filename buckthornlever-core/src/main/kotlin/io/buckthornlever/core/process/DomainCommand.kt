package io.buckthornlever.core.process

import io.buckthornlever.api.connection.UpstreamId
import java.time.Instant

/** What the owner of [FailureDomains] has to do. */
public sealed interface DomainCommand {
    /** Finish the work in flight on [upstream], or move it when it cannot end before [deadline]; null for no deadline. */
    public data class Drain(
        val upstream: UpstreamId,
        val deadline: Instant?,
    ) : DomainCommand

    /** Send a probe on a new connection and report its result as an event. */
    public data class Probe(
        val upstream: UpstreamId,
    ) : DomainCommand
}
