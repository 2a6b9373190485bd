package io.buckthornlever.core.serving

/**
 * Which of the listed instances are there. The holder of the duty lease hears all of them and tells the others who is silent.
 * Not thread-safe.
 */
public class LiveInstances {
    private val heardAt = HashMap<String, Long>()
    private var silent: Set<String> = emptySet()
    private var leadsSince: Long? = null

    /** The instance [name] is listed, or has been heard. */
    public fun onHeard(
        name: String,
        nanos: Long,
    ) {
        heardAt[name] = nanos
    }

    /** The instance [name] is no longer listed. */
    public fun remove(name: String) {
        heardAt.remove(name)
    }

    /** The holder of the lease tells that [silent] are not heard of. */
    public fun updateSilent(silent: Set<String>) {
        this.silent = silent
    }

    /** Instances that are there, as this instance hears itself when it [leads], else as it was told. */
    public fun live(
        leads: Boolean,
        nanos: Long,
    ): Set<String> {
        if (!leads) {
            leadsSince = null
            return heardAt.keys - silent
        }
        // Before it held the lease, the others told it nothing.
        val since = leadsSince ?: nanos.also { leadsSince = it }
        return heardAt.filterTo(HashMap()) { (_, at) -> nanos - maxOf(at, since) <= GONE_NANOS }.keys
    }

    private companion object {
        /** Silence after which an instance counts as gone; longer than a restart takes. */
        const val GONE_NANOS = 15_000_000_000L
    }
}
