package io.buckthornlever.core.process

import io.buckthornlever.api.connection.UpstreamId
import java.time.Instant

/** Effects that [FailureDomains] requests from its owner. */
public sealed interface DomainCommand {
    /** Drain [upstream]: let requests in flight finish, or migrate those that cannot before [deadline]; null means no deadline. */
    public data class Drain(
        val upstream: UpstreamId,
        val deadline: Instant?,
    ) : DomainCommand

    /** Probe [upstream] on a new connection and report the result as an [UpstreamEvent]. */
    public data class Probe(
        val upstream: UpstreamId,
    ) : DomainCommand
}
