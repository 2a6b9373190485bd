package io.buckthornlever.api.process

import io.buckthornlever.api.version.VersionLabel
import io.buckthornlever.api.version.VersionMove
import kotlinx.serialization.Serializable

/**
 * A group of upstreams, with the failure domains and versions that may receive traffic.
 *
 * @property failureDomains failure domains that may receive traffic; all when empty
 * @property versions versions that may receive traffic, most preferred first; all when empty
 * @property move the version move in progress, if any
 */
@Serializable
public data class Pool(
    val name: PoolName,
    val kind: ServiceKind,
    val upstreams: List<UpstreamSpec> = emptyList(),
    val failureDomains: List<FailureDomain> = emptyList(),
    val versions: List<VersionLabel> = emptyList(),
    val move: VersionMove? = null,
)
