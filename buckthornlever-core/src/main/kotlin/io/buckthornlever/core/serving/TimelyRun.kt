package io.buckthornlever.core.serving

import java.time.Duration

/**
 * Decides whether a run can begin and end in time. About 900 requests a day of site V ended at their callers' deadline after they had
 * been started; their prompts were read for nothing while others waited.
 */
public object TimelyRun {
    /**
     * Returns why the run is not to be started, or null if it may.
     *
     * @param times expected times at the chosen upstream
     * @param loadAge age of the load figures behind [times]; null without figures
     * @param knowsOutputTime true if the time from first to last output in [times] was learned
     * @param timeToFirst time until the caller gives up waiting for the first output
     * @param timeToLast time until the deadline
     * @param position number of the request in 0..1, equally distributed
     */
    public fun obstacle(
        times: ExpectedTimes,
        loadAge: Duration?,
        knowsOutputTime: Boolean,
        timeToFirst: Duration,
        timeToLast: Duration,
        position: Double,
    ): AdmissionObstacle? {
        if (loadAge == null || loadAge > MAX_LOAD_AGE || position < TRIAL_SHARE) return null
        if (times.firstOutput > minOf(timeToFirst, timeToLast)) return AdmissionObstacle.STARTS_TOO_LATE
        if (!knowsOutputTime) return null
        val output = times.lastOutput.minus(times.firstOutput)
        val shortestEnd = times.firstOutput.plus(Duration.ofNanos((output.toNanos() * OUTPUT_TOLERANCE).toLong()))
        return if (shortestEnd > timeToLast) AdmissionObstacle.ENDS_TOO_LATE else null
    }

    /** Load figures change within a second in bursts; older ones prove nothing about a run that starts now. */
    private val MAX_LOAD_AGE: Duration = Duration.ofSeconds(1)

    /** Share of the runs that is started against the expectation, so that a wrong expectation is corrected. */
    private const val TRIAL_SHARE = 0.05

    /** Callers' hints about the length of the output are often far off, so only a part of the expected output time counts. */
    private const val OUTPUT_TOLERANCE = 0.5
}
