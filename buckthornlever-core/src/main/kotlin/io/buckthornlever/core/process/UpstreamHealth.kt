package io.buckthornlever.core.process

/** Health of an upstream, derived from the probes and calls of this instance and its peers. */
public enum class UpstreamHealth {
    /** Takes requests. */
    HEALTHY,

    /** Unresponsive or failing; takes requests only when no healthy upstream can, and never at-most-once requests. */
    SUSPECT,

    /** Known to be gone; takes no requests. */
    DOWN,
}
