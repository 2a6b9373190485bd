package io.buckthornlever.core.version

import io.buckthornlever.api.version.VersionLabel

/** Versions at which a request may be placed. */
public sealed interface VersionChoice {
    /** Every version. */
    public data object Any : VersionChoice

    /** Upstreams of [version], and others only while none of these has room. */
    public data class Preferring(
        val version: VersionLabel,
    ) : VersionChoice

    /** Upstreams of other versions than [version], which may serve only if there are no others. */
    public data class Avoiding(
        val version: VersionLabel,
    ) : VersionChoice
}
