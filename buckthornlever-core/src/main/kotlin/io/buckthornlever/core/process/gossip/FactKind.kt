package io.buckthornlever.core.process.gossip

import java.time.Duration

/**
 * Types of facts.
 *
 * @property maxLifetime longest time for which a fact may be kept; a later expiry is cut, so that a wrong clock cannot keep one forever
 */
public enum class FactKind(
    public val maxLifetime: Duration,
) {
    VERSION_STOP(Duration.ofHours(24)),
    CRASH_FINGERPRINT(Duration.ofHours(24)),
    COLD_UPSTREAM(Duration.ofHours(1)),
    CONFIGURATION_REVISIONS(Duration.ofHours(1)),
    EVIDENCE(Duration.ofHours(24)),
}
