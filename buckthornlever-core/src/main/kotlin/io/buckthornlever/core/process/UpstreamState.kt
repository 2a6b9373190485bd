package io.buckthornlever.core.process

/** State of an upstream as selection sees it. */
public enum class UpstreamState {
    HEALTHY,
    COLD,
    SUSPECT,
    LEAVING,
    DOWN,
}
