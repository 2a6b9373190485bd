package io.buckthornlever.daemon.version

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.PoolName
import io.buckthornlever.core.version.VersionWeights

/**
 * Decisions of the traffic control that request threads read.
 *
 * @property weights division between versions, for pools with a move
 * @property limits this instance's share of the limit of upstreams that are stopped, cold or returning; 0 for those without new work
 */
internal class TrafficSnapshot(
    val weights: Map<PoolName, VersionWeights> = emptyMap(),
    val limits: Map<UpstreamId, Int> = emptyMap(),
)
