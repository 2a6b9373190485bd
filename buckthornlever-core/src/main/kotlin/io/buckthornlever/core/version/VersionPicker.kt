package io.buckthornlever.core.version

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.PoolName
import io.buckthornlever.api.process.RouteName
import io.buckthornlever.api.version.VersionLabel

/**
 * Chooses the version of each request so that the share holds exactly on each route, by carrying the remainder to the next request
 * of the route. Not thread-safe.
 */
public class VersionPicker(
    private val self: InstanceId,
) {
    private val remainders = HashMap<Pair<PoolName, RouteName>, Int>()

    /** Version for the next request of [route] in [pool]. */
    public fun pick(
        pool: PoolName,
        route: RouteName,
        weights: VersionWeights,
    ): VersionLabel {
        // Instances start at different positions; otherwise a route with few requests per instance never reached the new version.
        val before = remainders.getOrPut(pool to route) { Math.floorMod((self to route).hashCode() * HASH_MULTIPLIER, FULL_PERMILLE) }
        val after = before + weights.newPermille
        remainders[pool to route] = after % FULL_PERMILLE
        return if (after >= FULL_PERMILLE) weights.new else weights.old
    }

    private companion object {
        const val FULL_PERMILLE = MoveSchedule.FULL_PERMILLE
        const val HASH_MULTIPLIER = -0x61c88647
    }
}
