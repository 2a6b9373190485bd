package io.buckthornlever.core.process

/** Lifecycle phase of an upstream, as seen by one entry instance. */
public enum class UpstreamPhase {
    /** Takes requests up to its full limit. */
    LIVE,

    /** Its end is announced; takes no new requests, and requests in flight are finished or migrated. */
    LEAVING,

    /** Does not answer or is no longer listed; it is probed. */
    GONE,

    /** Recently started or without warm caches; takes requests up to its cold limit. */
    COLD,

    /** Ramping up: its limit grows in steps. */
    RETURNING,
}
