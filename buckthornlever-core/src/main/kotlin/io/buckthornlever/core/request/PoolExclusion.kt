package io.buckthornlever.core.request

import io.buckthornlever.api.process.PoolName

/** Number of a pool's upstreams that the tables keep out for the same reason. */
public data class PoolExclusion(
    val pool: PoolName,
    val verdict: Verdict,
    val upstreams: Int,
)
