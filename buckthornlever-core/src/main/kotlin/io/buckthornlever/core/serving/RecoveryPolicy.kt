package io.buckthornlever.core.serving

import io.buckthornlever.api.serving.ServedRoute

/** Decides what follows an attempt that ended without a usable answer. */
public object RecoveryPolicy {
    /**
     * Decides the next step.
     *
     * @param proofBefore what was proved before this attempt
     * @param runs upstreams that may have run the request, this attempt included
     * @param sends upstreams that the request was sent to, this attempt included
     * @param answerStarted true when the caller has part of the answer
     * @param mayRetry true when the budget and the time left allow another attempt; asked only if one would follow
     */
    public fun next(
        route: ServedRoute,
        end: AttemptEnd,
        proofBefore: RunProof,
        runs: Int,
        sends: Int,
        answerStarted: Boolean,
        mayRetry: () -> Boolean,
    ): NextStep {
        val proof = proofBefore.and(end.proof)
        val repeatable = route.repeatable || proof == RunProof.NOT_RUN
        val attemptsLeft = runs < route.maxAttempts && sends <= route.maxAttempts
        if (repeatable && attemptsLeft && mayRetry()) return NextStep.TRY_ANOTHER
        return when {
            answerStarted -> NextStep.ABORT
            end is AttemptEnd.Failed -> NextStep.RELAY_FAILURE
            proof == RunProof.NOT_RUN -> NextStep.REFUSE_NOT_RUN
            else -> NextStep.FAIL_UNKNOWN
        }
    }
}
