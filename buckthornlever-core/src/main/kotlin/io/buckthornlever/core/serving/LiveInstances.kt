package io.buckthornlever.core.serving

/**
 * Tracks which of the listed instances are alive. All instances report to the holder of the duty lease, which tells them which
 * ones are silent. Not thread-safe.
 */
public class LiveInstances {
    private val lastHeardAt = HashMap<String, Long>()
    private var reportedSilent: Set<String> = emptySet()
    private var leaseHeldSince: Long? = null

    /** Records that the instance [name] was listed or sent a message. */
    public fun onHeard(
        name: String,
        nanos: Long,
    ) {
        lastHeardAt[name] = nanos
    }

    /** Removes the instance [name], which is no longer listed. */
    public fun remove(name: String) {
        lastHeardAt.remove(name)
    }

    /** Replaces the instances that the lease holder reports as [silent]. */
    public fun updateSilent(silent: Set<String>) {
        this.reportedSilent = silent
    }

    /** Returns the live instances: by its own observation when this instance [holdsLease], otherwise as reported by the lease holder. */
    public fun live(
        holdsLease: Boolean,
        nanos: Long,
    ): Set<String> {
        if (!holdsLease) {
            leaseHeldSince = null
            return lastHeardAt.keys - reportedSilent
        }
        // Other instances report only to the lease holder, so silence counts from the time at which the lease was gained.
        val since = leaseHeldSince ?: nanos.also { leaseHeldSince = it }
        return lastHeardAt.filterTo(HashMap()) { (_, at) -> nanos - maxOf(at, since) <= SILENCE_TIMEOUT_NANOS }.keys
    }

    private companion object {
        /** Silence after which an instance counts as gone; longer than a restart. */
        const val SILENCE_TIMEOUT_NANOS = 15_000_000_000L
    }
}
