package io.buckthornlever.core.process.gossip

import io.buckthornlever.core.process.membership.Moment

/**
 * All unexpired facts that this instance knows. The order and number of merges do not change the result.
 *
 * @param capacity maximum number of facts; above it the one that expires first is evicted, so that a faulty peer cannot fill the heap
 */
public class FactStore(
    private val capacity: Int = DEFAULT_CAPACITY,
) {
    private val facts = HashMap<FactKey, Fact>()

    /** Number of facts held. */
    public val size: Int get() = facts.size

    /** Joins [fact] with what is known; returns the joined fact when something is new, otherwise null. */
    public fun merge(fact: Fact, now: Moment): Fact? {
        val key = fact.key
        val limit = now.wallMillis + key.kind.maxLifetime.toMillis()
        val bounded = if (fact.expiresAtMillis > limit) fact.expiringAt(limit) else fact
        if (bounded.expiresAtMillis <= now.wallMillis) return null
        val known = facts[key]
        val joined = known?.join(bounded) ?: bounded
        if (joined == known) return null
        facts[key] = joined
        if (facts.size > capacity) facts.values.minByOrNull { it.expiresAtMillis }?.let { facts.remove(it.key) }
        return joined
    }

    /** Drops expired facts. */
    public fun expire(now: Moment) {
        facts.values.removeIf { it.expiresAtMillis <= now.wallMillis }
    }

    /** The fact with [key], or null. */
    public fun find(key: FactKey): Fact? = facts[key]

    /** All facts of [kind], in no particular order. */
    public fun ofKind(kind: FactKind): List<Fact> = facts.values.filter { it.key.kind == kind }

    /** All facts, in no particular order. */
    public fun all(): List<Fact> = facts.values.toList()

    private companion object {
        const val DEFAULT_CAPACITY = 20_000
    }
}
