package io.buckthornlever.core.process

/** Health of an upstream as the probes and calls of this instance and its peers show it. */
public enum class UpstreamHealth {
    /** Takes work. */
    HEALTHY,

    /** Silent or failing; takes work only when no healthy upstream can, and never work that runs at most once. */
    SUSPECT,

    /** Known to be gone; takes no work. */
    DOWN,
}
