package io.buckthornlever.core.process

import io.buckthornlever.api.connection.UpstreamId
import kotlin.math.abs

/**
 * Upstream deaths by content fingerprint. [merge] is commutative, associative and idempotent, so gossip may carry
 * ledgers or single entries in any order.
 *
 * @property deaths expiry by death, in milliseconds of wall-clock time
 * @property excused expiry of each upstream loss that has another cause, such as the loss of a failure domain
 */
public data class CrashLedger(
    val deaths: Map<Fingerprint, Map<UpstreamDeath, Long>> = emptyMap(),
    val excused: Map<UpstreamDeath, Long> = emptyMap(),
) {
    /** Adds the death of [upstream] while it ran [fingerprint]. */
    public fun record(
        fingerprint: Fingerprint,
        upstream: UpstreamId,
        nowMillis: Long,
    ): CrashLedger {
        val entry = mapOf(UpstreamDeath(upstream, nowMillis) to nowMillis + TTL_MILLIS)
        return merge(CrashLedger(mapOf(fingerprint to entry)))
    }

    /** Declares that the death of [upstream] around [atMillis] was not caused by its requests. */
    public fun excuse(
        upstream: UpstreamId,
        atMillis: Long,
    ): CrashLedger = merge(CrashLedger(excused = mapOf(UpstreamDeath(upstream, atMillis) to atMillis + TTL_MILLIS)))

    /** Keeps the entries of [fingerprint] for another [TTL_MILLIS] because it was submitted again. */
    public fun renew(
        fingerprint: Fingerprint,
        nowMillis: Long,
    ): CrashLedger {
        val known = deaths[fingerprint] ?: return this
        val live = known.filterValues { it > nowMillis }.mapValues { nowMillis + TTL_MILLIS }
        return merge(CrashLedger(mapOf(fingerprint to live)))
    }

    /** Union of both ledgers with the later expiry of each entry. */
    public fun merge(other: CrashLedger): CrashLedger =
        CrashLedger(
            union(deaths, other.deaths) { a, b -> union(a, b) { x, y -> maxOf(x, y) } },
            union(excused, other.excused) { x, y -> maxOf(x, y) },
        )

    /** Drops expired entries. */
    public fun expire(nowMillis: Long): CrashLedger =
        CrashLedger(
            deaths.mapValues { (_, entries) -> entries.filterValues { it > nowMillis } }.filterValues { it.isNotEmpty() },
            excused.filterValues { it > nowMillis },
        )

    /** Upstreams that died while running [fingerprint], one entry for each death that has no other known cause. */
    public fun lostUpstreams(
        fingerprint: Fingerprint,
        nowMillis: Long,
    ): List<UpstreamId> {
        val live = deaths[fingerprint].orEmpty().filterValues { it > nowMillis }.keys
        val counted = live.filterNot(::isExcused)
        return counted.groupBy { it.upstream }.toSortedMap().flatMap { (upstream, group) -> List(separate(group)) { upstream } }
    }

    private fun isExcused(death: UpstreamDeath): Boolean =
        excused.keys.any { it.upstream == death.upstream && abs(it.atMillis - death.atMillis) <= SAME_DEATH_MILLIS }

    private fun separate(group: List<UpstreamDeath>): Int {
        val times = group.map { it.atMillis }.sorted()
        return 1 + times.zipWithNext().count { (earlier, later) -> later - earlier > SAME_DEATH_MILLIS }
    }

    private fun <K, V : Any> union(
        left: Map<K, V>,
        right: Map<K, V>,
        combine: (V, V) -> V,
    ): Map<K, V> {
        val result = LinkedHashMap(left)
        right.forEach { (key, value) -> result.merge(key, value) { a, b -> combine(a, b) } }
        return result
    }

    public companion object {
        /** Time for which a death counts after the last submission of its request, in milliseconds. */
        public const val TTL_MILLIS: Long = 3_600_000

        /** Observations of the same upstream closer than this are one death: an upstream takes longer to restart. */
        public const val SAME_DEATH_MILLIS: Long = 5_000
    }
}
