package io.buckthornlever.core.request

import io.buckthornlever.api.version.VersionLabel

/** Upstreams of one pool that run one version, in tiers of ascending price. */
internal class VersionGroup(
    val version: VersionLabel,
    val tiers: List<PriceTier>,
)
