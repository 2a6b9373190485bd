package io.buckthornlever.core.serving

/** A connection that has to give back its memory, and why. */
public data class MemoryRelief(
    val holder: MemoryHolder,
    val reason: CallerRefusal,
)
