package io.buckthornlever.core.serving

/**
 * Which of the listed instances are there. The holder of the duty lease hears all of them and tells the others who is silent.
 * Not thread-safe.
 */
public class LiveInstances {
    private val lastHeardAt = HashMap<String, Long>()
    private var reportedSilent: Set<String> = emptySet()
    private var leaseHeldSince: Long? = null

    /** The instance [name] is listed, or has been heard. */
    public fun heard(
        name: String,
        nanos: Long,
    ) {
        lastHeardAt[name] = nanos
    }

    /** The instance [name] is no longer listed. */
    public fun unlisted(name: String) {
        lastHeardAt.remove(name)
    }

    /** The holder of the lease tells that [reportedSilent] are not heard of. */
    public fun told(silent: Set<String>) {
        this.reportedSilent = silent
    }

    /** Instances that are there, as this instance hears itself when it [holdsLease], else as it was told. */
    public fun live(
        holdsLease: Boolean,
        nanos: Long,
    ): Set<String> {
        if (!holdsLease) {
            leaseHeldSince = null
            return lastHeardAt.keys - reportedSilent
        }
        // Before it held the lease, the others told it nothing.
        val since = leaseHeldSince ?: nanos.also { leaseHeldSince = it }
        return lastHeardAt.filterTo(HashMap()) { (_, at) -> nanos - maxOf(at, since) <= SILENCE_TIMEOUT_NANOS }.keys
    }

    private companion object {
        /** Silence after which an instance counts as gone; longer than a restart takes. */
        const val SILENCE_TIMEOUT_NANOS = 15_000_000_000L
    }
}
