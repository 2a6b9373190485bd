package io.buckthornlever.core.process

/** Whether a failure domain takes new requests. */
public enum class DomainPhase {
    /** Takes new requests. */
    IN,

    /** Taken out of service by operators. */
    OUT,

    /** Hit by a reclaim wave; its remaining upstreams are expected to be reclaimed too. */
    RECLAIMED,
}
