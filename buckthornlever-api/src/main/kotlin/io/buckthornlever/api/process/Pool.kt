package io.buckthornlever.api.process

import io.buckthornlever.api.version.VersionLabel
import io.buckthornlever.api.version.VersionMove
import kotlinx.serialization.Serializable

/**
 * Says which upstreams, failure domains and versions may take traffic.
 *
 * @property failureDomains failure domains that may be used; all when empty
 * @property versions versions that may be used, most preferred first; all when empty
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
