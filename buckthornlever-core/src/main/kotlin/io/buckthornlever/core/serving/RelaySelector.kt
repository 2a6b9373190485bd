package io.buckthornlever.core.serving

import io.buckthornlever.api.serving.InstanceRecord

/**
 * Chooses the instance that follows the shared store for others, so that the calls to the store do not grow with the number of
 * instances: one for a small site, one for each failure domain of a larger one. All instances choose alike as far as they know
 * the same members; where they differ, an instance only makes more calls of its own.
 */
public class RelaySelector(
    private val self: InstanceRecord,
) {
    private val avoidedUntil = HashMap<String, Long>()

    /** The instance to follow, or null when this one follows the store itself; [excluded] is left out. */
    public fun choose(
        members: Collection<InstanceRecord>,
        nanos: Long,
        excluded: String? = null,
    ): InstanceRecord? {
        val all = members.filter { it.name != self.name && it.name != excluded } + self
        val group = if (all.size <= SMALL_SITE) all else all.filter { it.domain == self.domain }
        val usable = group.filter { it === self || nanos >= (avoidedUntil[it.name] ?: Long.MIN_VALUE) }
        val first = usable.minWithOrNull(ORDER)
        return first.takeIf { it !== self }
    }

    /** [name] gave no usable answer; it is left out for some time. */
    public fun avoid(
        name: String,
        nanos: Long,
    ) {
        avoidedUntil[name] = nanos + AVOID_NANOS
        avoidedUntil.values.removeIf { it < nanos }
    }

    private companion object {
        /** Instances up to which one relay serves a whole site. */
        const val SMALL_SITE = 24

        /** Longer than most outages of a relay: each return to one that is not back yet costs calls to the store. */
        const val AVOID_NANOS = 10_000_000_000L

        /** Large tables go to many followers at once, so the widest link comes first. */
        val ORDER: Comparator<InstanceRecord> =
            compareByDescending<InstanceRecord> { it.linkMegabits }.thenBy { StableHash.of(it.name) }.thenBy { it.name }
    }
}
