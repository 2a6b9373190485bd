package io.buckthornlever.core.version

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.PoolName
import io.buckthornlever.api.process.RouteName
import io.buckthornlever.api.version.VersionLabel

/**
 * Chooses the version of each request so that the share holds exactly on each route, by carrying the remainder to the next request
 * of the route. Not thread-safe.
 */
public class VersionSelector(
    private val self: InstanceId,
) {
    private val remainders = HashMap<Pair<PoolName, RouteName>, Int>()

    /** Version for the next request of [route] in [pool]. */
    public fun select(
        pool: PoolName,
        route: RouteName,
        weights: VersionWeights,
    ): VersionLabel {
        // Instances start at different positions; otherwise a route with few requests per instance never reached the new version.
        val before = remainders.getOrPut(pool to route) { Math.floorMod((self to route).hashCode() * SPREAD, FULL) }
        val after = before + weights.newPermille
        remainders[pool to route] = after % FULL
        return if (after >= FULL) weights.new else weights.old
    }

    private companion object {
        const val FULL = MoveSchedule.FULL
        const val SPREAD = -0x61c88647
    }
}
