package io.buckthornlever.bench.process

/** How a simulated failure domain is lost. */
internal enum class DomainLoss {
    /** Operators take it out and return it. */
    OPERATOR,

    /** The cloud reclaims its instances with a few seconds of notice and starts others later. */
    RECLAIM,

    /** It ends without notice. */
    SUDDEN,
}
