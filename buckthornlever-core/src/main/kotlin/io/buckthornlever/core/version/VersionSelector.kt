package io.buckthornlever.core.version

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.PoolName
import io.buckthornlever.api.process.RouteName
import io.buckthornlever.api.version.VersionLabel

/**
 * Selects the version of each request by weighted round robin per route: the remainder is carried over to the route's next request,
 * so that the share is exact on each route. Not thread-safe.
 */
public class VersionSelector(
    private val self: InstanceId,
) {
    private val remainders = HashMap<Pair<PoolName, RouteName>, Int>()

    /** Returns the version for the next request of [route] in [pool]. */
    public fun select(
        pool: PoolName,
        route: RouteName,
        weights: VersionWeights,
    ): VersionLabel {
        // Instances start with different remainders. Otherwise a route with few requests per instance would never use the new version.
        val before = remainders.getOrPut(pool to route) { Math.floorMod((self to route).hashCode() * HASH_MULTIPLIER, FULL_PERMILLE) }
        val after = before + weights.newPermille
        remainders[pool to route] = after % FULL_PERMILLE
        return if (after >= FULL_PERMILLE) weights.new else weights.old
    }

    private companion object {
        const val FULL_PERMILLE = MoveSchedule.FULL_PERMILLE

        /** 2^32 divided by the golden ratio, as in Fibonacci hashing. */
        const val HASH_MULTIPLIER = -0x61c88647
    }
}
