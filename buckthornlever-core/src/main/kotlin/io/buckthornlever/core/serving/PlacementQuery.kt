package io.buckthornlever.core.serving

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.version.VersionLabel

/**
 * Properties of a request that determine the choice of its upstream.
 *
 * @property service service whose upstreams may run it
 * @property sharedParts identifiers of the prompt parts that other requests may share, in order
 * @property sharedTokens tokens of [sharedParts]
 * @property promptTokens tokens of the whole prompt; 0 for requests without one
 * @property tried upstreams of earlier attempts
 * @property requiredVersion version whose upstreams alone may run it; null if all versions may
 * @property excludedVersion version whose upstreams must not run it; null if all versions may
 * @property tieBreak hash of the request; spreads requests for which several upstreams are equally good
 * @property expectedOutputTokens output tokens that the caller expects or allows; 0 if it says neither
 * @property firstOutputBy monotonic time in nanoseconds after which the first output is late; null if there is none
 */
public data class PlacementQuery(
    val service: String,
    val sharedParts: List<Long> = emptyList(),
    val sharedTokens: Int = 0,
    val promptTokens: Int = 0,
    val tried: Set<UpstreamId> = emptySet(),
    val tieBreak: Long = 0,
    val requiredVersion: VersionLabel? = null,
    val excludedVersion: VersionLabel? = null,
    val expectedOutputTokens: Int = 0,
    val firstOutputBy: Long? = null,
) {
    /** True if upstreams of [version] may run the request. */
    internal fun allows(version: VersionLabel): Boolean =
        version != excludedVersion && (requiredVersion == null || version == requiredVersion)
}
