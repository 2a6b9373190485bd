package io.buckthornlever.core.request

/** Why a candidate was or was not chosen. */
public enum class Verdict {
    CHOSEN,

    /** Its failure domain has been taken out of service. */
    DOMAIN_OUT,

    /** The pool does not allow its failure domain. */
    DOMAIN_NOT_ALLOWED,

    /** The pool does not allow its version. */
    VERSION_NOT_ALLOWED,

    /** An earlier attempt of the same request has used the upstream. */
    ALREADY_TRIED,
    LEAVING,
    DOWN,

    /** The upstream is suspect; it is used only if no healthy one can take the request. */
    SUSPECT,

    /** This instance's share of the cold upstream's concurrency limit is used up, or the upstream is full. */
    COLD_LIMIT,

    /** This instance's concurrency limit for the upstream is reached. */
    CONCURRENCY_LIMIT,

    /** The upstream is at capacity. */
    FULL,

    /** The upstream could take the request, but its utilisation is above the target. */
    ABOVE_TARGET,

    /** The upstream could take the request, but another candidate holds the prefix or has less load. */
    LESS_SUITABLE,
}
