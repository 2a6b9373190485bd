package io.buckthornlever.core.serving

import io.buckthornlever.api.version.VersionLabel

/**
 * A version that an operator has ordered a service to move to.
 *
 * @property hasReplacedOthers true once the move has succeeded, whereupon the platform stops the upstreams of all other versions at once
 */
public data class OrderedVersion(
    val version: VersionLabel,
    val hasReplacedOthers: Boolean,
)
