package io.buckthornlever.core.process

/** Whether a failure domain takes new work. */
public enum class DomainPhase {
    /** Takes work. */
    IN,

    /** Taken out by operators. */
    OUT,

    /** Hit by a reclaim wave; its remaining upstreams are expected to go too. */
    RECLAIMED,
}
