package io.buckthornlever.core.serving

import io.buckthornlever.api.serving.ServedRoute

/** Decides how to continue after an attempt that ended without a usable response. */
public object RetryPolicy {
    /**
     * Decides the next step.
     *
     * @param proofBefore what was proved about the execution before this attempt
     * @param runs number of upstreams that may have run the request, including this attempt
     * @param sends number of upstreams that the request was sent to, including this attempt
     * @param responseStarted true when part of the response has been sent to the caller
     * @param mayRetry returns true when the retry budget and the remaining time allow another attempt; called only when one would follow
     */
    public fun next(
        route: ServedRoute,
        end: AttemptEnd,
        proofBefore: ExecutionProof,
        runs: Int,
        sends: Int,
        responseStarted: Boolean,
        mayRetry: () -> Boolean,
    ): NextStep {
        val proof = proofBefore.strongerOf(end.proof)
        val repeatable = route.repeatable || proof == ExecutionProof.NOT_RUN
        val attemptsLeft = runs < route.maxAttempts && sends <= route.maxAttempts
        if (repeatable && attemptsLeft && mayRetry()) return NextStep.TRY_ANOTHER
        return when {
            responseStarted -> NextStep.ABORT
            end is AttemptEnd.Failed -> NextStep.RELAY_FAILURE
            proof == ExecutionProof.NOT_RUN -> NextStep.REFUSE_NOT_RUN
            else -> NextStep.FAIL_UNKNOWN
        }
    }
}
