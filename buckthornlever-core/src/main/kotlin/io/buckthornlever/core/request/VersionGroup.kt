package io.buckthornlever.core.request

import io.buckthornlever.api.version.VersionLabel

/** Upstreams of one pool that run the same version, in price tiers from the cheapest to the most expensive. */
internal class VersionGroup(
    val version: VersionLabel,
    val tiers: List<PriceTier>,
)
