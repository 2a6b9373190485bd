package io.buckthornlever.core.request

import io.buckthornlever.api.process.AccountTable
import io.buckthornlever.api.request.RequestError

/**
 * Admission queue: decides which requests wait, start or are refused. All calls must come from one thread or be made under one lock.
 */
public interface AdmissionQueue {
    /** Number of waiting requests. */
    public val waiting: Int

    /** Monotonic time in nanoseconds at which the next waiting request may expire; `Long.MAX_VALUE` if none waits. */
    public val nextDeadline: Long

    /** Applies the table of client accounts. */
    public fun configure(accounts: AccountTable)

    /** Queues [request]; returns null on success, or the error with which it is refused as not run. */
    public fun offer(request: AdmissionRequest): RequestError?

    /**
     * Starts waiting requests in order while [select] finds an upstream, and refuses expired ones. Call it after each offer,
     * completion and load report, and at [nextDeadline].
     */
    public fun poll(select: (AdmissionRequest) -> Selection): List<AdmissionEvent>

    /** Removes a waiting request whose caller has disconnected; returns false if it is not waiting. */
    public fun cancel(request: AdmissionRequest): Boolean

    /** Reports that a started request has ended and what it actually cost, in the unit of [AdmissionRequest.cost]. */
    public fun complete(
        request: AdmissionRequest,
        cost: Double,
    )
}
