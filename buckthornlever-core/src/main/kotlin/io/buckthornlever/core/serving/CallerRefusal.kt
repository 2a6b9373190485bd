package io.buckthornlever.core.serving

/** Why a caller is refused, or its connection closed, to bound what callers make the process hold. */
public enum class CallerRefusal {
    /** The head of a request takes more than its part of the memory that is left. */
    HEAD_TOO_LARGE_NOW,

    /** The rest of a request could not be read in time, since other requests hold the memory. */
    BODY_WAITED_TOO_LONG,

    /** The caller neither sends nor reads, and others need the memory that its connection holds. */
    STALLED,

    /** More memory is held than the budget allows. */
    OVER_BUDGET,

    /** Requests that were sent ahead on a connection whose first request is still being served. */
    SENT_AHEAD,

    /** The connection was the longest without a request, and others need its descriptor. */
    CONNECTION_IDLE,

    /** New connections wait until open ones end. */
    CONNECTIONS_WAIT,

    /** Another instance asks for more state than there is memory left. */
    RELAY_TOO_LARGE_NOW,

    /** The heap is exhausted although the budget is kept. */
    OUT_OF_MEMORY,
}
