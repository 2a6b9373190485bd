package io.buckthornlever.core.process

/** Where an upstream is in its life, as seen by one entry instance. */
public enum class UpstreamPhase {
    /** Takes work up to its full limit. */
    LIVE,

    /** Has announced its end; takes no new work, work in flight is finished or moved. */
    LEAVING,

    /** Does not answer or is no longer listed; is probed. */
    GONE,

    /** Freshly started or without caches; takes work up to its cold limit. */
    COLD,

    /** Its limit grows in steps. */
    RETURNING,
}
