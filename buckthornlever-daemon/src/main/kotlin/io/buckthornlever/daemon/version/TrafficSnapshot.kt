package io.buckthornlever.daemon.version

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.PoolName
import io.buckthornlever.core.version.VersionWeights

/**
 * Decisions of the traffic control that request threads read.
 *
 * @property weights traffic split between versions, for pools with a version move
 * @property limits this instance's share of the limit of upstreams that are stopped, cold or returning; 0 means no new requests
 */
internal class TrafficSnapshot(
    val weights: Map<PoolName, VersionWeights> = emptyMap(),
    val limits: Map<UpstreamId, Int> = emptyMap(),
)
