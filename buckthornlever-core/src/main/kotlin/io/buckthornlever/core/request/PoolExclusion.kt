package io.buckthornlever.core.request

import io.buckthornlever.api.process.PoolName

/** Number of upstreams of a pool that the configuration excludes for the same reason. */
public data class PoolExclusion(
    val pool: PoolName,
    val verdict: Verdict,
    val upstreams: Int,
)
