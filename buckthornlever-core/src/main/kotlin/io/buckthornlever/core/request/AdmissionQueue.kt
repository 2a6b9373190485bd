package io.buckthornlever.core.request

import io.buckthornlever.api.process.AccountTable
import io.buckthornlever.api.request.RequestError

/** Decides which requests wait, which start and which are refused. All calls are made from one thread or under one lock. */
public interface AdmissionQueue {
    /** Requests that wait. */
    public val waiting: Int

    /** Monotonic time in nanoseconds at which the next request may run out of time; `Long.MAX_VALUE` if none waits. */
    public val nextDeadline: Long

    /** Puts the table of client accounts into effect. */
    public fun configure(accounts: AccountTable)

    /** Queues [request], or returns why it is refused as not run. */
    public fun offer(request: AdmissionRequest): RequestError?

    /**
     * Starts waiting requests in order while [select] finds a place, and refuses those whose time is over. To be called after
     * each offer, completion and load report, and at [nextDeadline].
     */
    public fun poll(select: (AdmissionRequest) -> Selection): List<AdmissionEvent>

    /** Removes a waiting request whose caller has gone; false when it is not waiting. */
    public fun cancel(request: AdmissionRequest): Boolean

    /** A started request has ended and has used [cost] of capacity. */
    public fun complete(
        request: AdmissionRequest,
        cost: Double,
    )
}
