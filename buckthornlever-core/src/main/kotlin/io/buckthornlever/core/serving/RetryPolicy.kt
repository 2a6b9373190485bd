package io.buckthornlever.core.serving

import io.buckthornlever.api.serving.ServedRoute

/** Decides what follows an attempt that ended without a usable answer. */
public object RetryPolicy {
    /**
     * Decides the next step.
     *
     * @param before what was proved before this attempt
     * @param runs upstreams that may have run the request, this attempt included
     * @param sends upstreams that the request was sent to, this attempt included
     * @param answerStarted true when the caller has part of the answer
     * @param mayRepeat true when the budget and the time left allow another attempt; asked only if one would follow
     */
    public fun next(
        route: ServedRoute,
        end: AttemptEnd,
        before: ExecutionProof,
        runs: Int,
        sends: Int,
        answerStarted: Boolean,
        mayRepeat: () -> Boolean,
    ): NextStep {
        val proof = before.strongerOf(end.proof)
        val repeatable = route.repeatable || proof == ExecutionProof.NOT_RUN
        val attemptsLeft = runs < route.maxAttempts && sends <= route.maxAttempts
        if (repeatable && attemptsLeft && mayRepeat()) return NextStep.TRY_ANOTHER
        return when {
            answerStarted -> NextStep.ABORT
            end is AttemptEnd.Failed -> NextStep.RELAY_FAILURE
            proof == ExecutionProof.NOT_RUN -> NextStep.REFUSE_NOT_RUN
            else -> NextStep.FAIL_UNKNOWN
        }
    }
}
