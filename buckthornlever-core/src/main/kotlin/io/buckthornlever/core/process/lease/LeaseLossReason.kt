package io.buckthornlever.core.process.lease

/** Why a lease ended. */
public enum class LeaseLossReason {
    EXPIRED,
    SUPERSEDED,
    RESIGNED,
}
