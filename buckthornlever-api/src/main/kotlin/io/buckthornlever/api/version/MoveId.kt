package io.buckthornlever.api.version

import io.buckthornlever.api.process.PoolName
import kotlinx.serialization.Serializable

/** Identity of one version move of a pool. A changed start time makes it another move; a changed due time does not. */
@Serializable
public data class MoveId(
    val pool: PoolName,
    val from: String,
    val to: String,
    val startAt: String,
) {
    public companion object {
        /** Returns the identity of [move] in [pool]. */
        public fun of(
            pool: PoolName,
            move: VersionMove,
        ): MoveId = MoveId(pool, move.from.value, move.to.value, move.startAt)
    }
}
