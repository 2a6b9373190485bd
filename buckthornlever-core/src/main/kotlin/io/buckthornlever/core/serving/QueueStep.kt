package io.buckthornlever.core.serving

/** Result of offering free capacity to one waiting request. */
public enum class QueueStep {
    /** The request no longer waits: it was placed, or it was refused. */
    DONE,

    /** The request keeps waiting since it must not use the upstreams that have capacity; another request may. */
    BLOCKED,

    /** The request keeps waiting since no upstream has capacity; that holds for every other request too. */
    SATURATED,
}
