package io.buckthornlever.core.serving

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.serving.DiscoveredUpstream
import java.time.Duration

/**
 * Registrations that were written before the newest one known of their upstream. The store may execute a call that got no response
 * seconds later, after newer ones. Not thread-safe.
 *
 * A late registration that still stands after [STANDING_TIME] is valid: a running upstream writes its newest one again within that time,
 * and the store removes the registration of one that has ended.
 */
internal class LateRegistrations {
    private val registrations = LinkedHashMap<UpstreamId, Late>()

    /** True if [registration] was written before [known], which is of the same upstream. */
    fun isLate(
        registration: DiscoveredUpstream,
        known: DiscoveredUpstream,
    ): Boolean {
        val born = registration.bornMillis ?: return false
        val knownBorn = known.bornMillis ?: return false
        if (born != knownBorn) return born < knownBorn
        val sequence = registration.sequence ?: return false
        return sequence < (known.sequence ?: return false)
    }

    /** Records the late [registration], which arrived at [nanos]. */
    fun add(
        registration: DiscoveredUpstream,
        nanos: Long,
    ) {
        val since = registrations[registration.id]?.takeIf { it.registration.bornMillis == registration.bornMillis }?.sinceNanos ?: nanos
        registrations[registration.id] = Late(registration, since)
    }

    /** Forgets the late registration of [id], which was replaced or removed. */
    fun remove(id: UpstreamId) {
        registrations.remove(id)
    }

    /** Removes and returns the registrations that are valid, since they still stand at [nanos]. */
    fun takeStanding(nanos: Long): List<DiscoveredUpstream> {
        if (registrations.isEmpty()) return emptyList()
        val standing = registrations.values.filter { nanos - it.sinceNanos >= STANDING_TIME.toNanos() }.map { it.registration }
        standing.forEach { registrations.remove(it.id) }
        return standing
    }

    private class Late(
        val registration: DiscoveredUpstream,
        val sinceNanos: Long,
    )

    private companion object {
        /** Several of the intervals at which upstreams register again, and longer than the store keeps a silent one. */
        val STANDING_TIME: Duration = Duration.ofSeconds(10)
    }
}
