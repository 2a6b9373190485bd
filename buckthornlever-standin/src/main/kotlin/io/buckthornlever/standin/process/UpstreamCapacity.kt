package io.buckthornlever.standin.process

/** Requests in flight at an upstream and its cold-start state. */
internal class UpstreamCapacity(
    private val warmLimit: Int,
    private val queueLimit: Int,
    private val coldLimit: Int,
    private val warmAfterCompletions: Int,
    cold: Boolean,
) {
    private var completionsToWarm = if (cold) warmAfterCompletions else 0

    @get:Synchronized
    var inFlight = 0
        private set

    @get:Synchronized
    var maxInFlight = 0
        private set

    @get:Synchronized
    var maxInFlightCold = 0
        private set

    val isCold: Boolean
        @Synchronized get() = completionsToWarm > 0

    /** Requests that are executed at once in the present state. */
    val limit: Int
        @Synchronized get() = if (isCold) minOf(coldLimit, warmLimit) else warmLimit

    @Synchronized
    fun admit(): Admission {
        if (inFlight >= warmLimit + queueLimit) return Admission.OVERLOADED
        inFlight += 1
        maxInFlight = maxOf(maxInFlight, inFlight)
        if (!isCold) return Admission.ADMITTED
        maxInFlightCold = maxOf(maxInFlightCold, inFlight)
        return if (inFlight > coldLimit) Admission.FATAL else Admission.ADMITTED
    }

    @Synchronized
    fun release(completed: Boolean) {
        inFlight -= 1
        if (completed && completionsToWarm > 0) completionsToWarm -= 1
    }

    @Synchronized
    fun turnCold() {
        completionsToWarm = warmAfterCompletions
    }

    @Synchronized
    fun turnWarm() {
        completionsToWarm = 0
    }
}
