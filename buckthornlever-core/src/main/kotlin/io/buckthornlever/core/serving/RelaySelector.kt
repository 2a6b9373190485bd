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
    private val avoidedUntil = HashMap<String, Long>()

    /** Returns the relay to follow, or null when this instance reads the store itself; the instance [excluded] is not selected. */
    public fun choose(
        members: Collection<InstanceRecord>,
        nanos: Long,
        excluded: String? = null,
    ): InstanceRecord? {
        val all = members.filter { it.name != self.name && it.name != excluded } + self
        val group = if (all.size <= SMALL_SITE_INSTANCES) all else all.filter { it.domain == self.domain }
        val usable = group.filter { it === self || nanos >= (avoidedUntil[it.name] ?: Long.MIN_VALUE) }
        val first = usable.minWithOrNull(PREFERENCE)
        return first.takeIf { it !== self }
    }

    /** Excludes the instance [name] for some time, since it gave no usable answer. */
    public fun avoid(
        name: String,
        nanos: Long,
    ) {
        avoidedUntil[name] = nanos + AVOID_NANOS
        avoidedUntil.values.removeIf { it < nanos }
    }

    private companion object {
        /** Number of instances up to which one relay serves the whole site. */
        const val SMALL_SITE_INSTANCES = 24

        /** Longer than most outages of a relay, since each attempt at one that is still down costs calls to the store. */
        const val AVOID_NANOS = 10_000_000_000L

        /** Large tables go to many followers at once, so the instance with the fastest network link comes first. */
        val PREFERENCE: Comparator<InstanceRecord> =
            compareByDescending<InstanceRecord> { it.linkMegabits }.thenBy { StableHash.of(it.name) }.thenBy { it.name }
    }
}
