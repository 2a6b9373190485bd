package io.buckthornlever.core.process

/** State of an upstream for the selection of upstreams. */
public enum class UpstreamState {
    HEALTHY,
    COLD,
    SUSPECT,
    LEAVING,
    DOWN,
}
