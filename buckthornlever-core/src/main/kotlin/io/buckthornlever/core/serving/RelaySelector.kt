package io.buckthornlever.core.serving

import io.buckthornlever.api.serving.InstanceRecord

/**
 * Selects the relay: the instance that reads the shared store on behalf of others, so that the calls to the store do not grow with
 * the number of instances. A small site has one relay, a larger one has one in each failure domain. Instances that know the same
 * members select the same relay; where their views differ, the only effect is more calls to the store.
 */
public class RelaySelector(
    private val self: InstanceRecord,
) {
    private val avoided = HashMap<String, Avoidance>()

    /**
     * Returns the relay to follow, or null when this instance reads the store itself.
     *
     * @param excluded names of instances that are not selected
     * @param includeAvoided true if an instance may be selected that gave no usable answer a short time ago
     */
    public fun choose(
        members: Collection<InstanceRecord>,
        nanos: Long,
        excluded: Set<String> = emptySet(),
        includeAvoided: Boolean = false,
    ): InstanceRecord? {
        val others = members.filter { it.name != self.name }
        val group = if (others.size < SMALL_SITE_INSTANCES) others else others.filter { it.domain == self.domain }
        val usable =
            group.filter { it.name !in excluded && (includeAvoided || !isAvoided(it.name, nanos)) } + self
        val first = usable.minWithOrNull(PREFERENCE)
        return first.takeIf { it !== self }
    }

    /**
     * Excludes the instance [name] for some time, since it gave no usable answer: for [FIRST_AVOIDANCE_NANOS], and for twice as long each
     * time that it fails again soon after.
     */
    public fun avoid(
        name: String,
        nanos: Long,
    ) {
        val last = avoided[name]
        if (last != null && nanos < last.untilNanos) return
        val isRecent = last != null && nanos < last.untilNanos + MAX_AVOIDANCE_NANOS
        val duration = if (isRecent) minOf(last.durationNanos * 2, MAX_AVOIDANCE_NANOS) else FIRST_AVOIDANCE_NANOS
        avoided.values.removeIf { nanos >= it.untilNanos + MAX_AVOIDANCE_NANOS }
        avoided[name] = Avoidance(nanos + duration, duration)
    }

    /** Ends the exclusion of the instance [name], which has given a usable answer. */
    public fun restore(name: String) {
        avoided.remove(name)
    }

    /** True while the instance [name] is excluded. */
    public fun isAvoided(
        name: String,
        nanos: Long,
    ): Boolean = avoided[name]?.let { nanos < it.untilNanos } ?: false

    private class Avoidance(
        val untilNanos: Long,
        val durationNanos: Long,
    )

    private companion object {
        /** Number of instances up to which one relay serves the whole site. */
        const val SMALL_SITE_INSTANCES = 24

        /** Outlasts a pause of the relay. The instance that takes its place meanwhile calls the store as often as the relay does. */
        const val FIRST_AVOIDANCE_NANOS = 2_000_000_000L

        /** Longer than most outages of a relay: an attempt at one that hangs delays what its followers learn by a second. */
        const val MAX_AVOIDANCE_NANOS = 10_000_000_000L

        /** Large tables go to many followers at once, so the instance with the fastest network link comes first. */
        val PREFERENCE: Comparator<InstanceRecord> =
            compareByDescending<InstanceRecord> { it.linkMegabits }.thenBy { StableHash.of(it.name) }.thenBy { it.name }
    }
}
