package io.buckthornlever.core.process

import io.buckthornlever.api.request.WorkClass
import java.time.Duration

/** How a dispatched call ended, as far as limits need to know. */
public sealed interface CallOutcome {
    /**
     * The upstream answered.
     *
     * @property timeToFirstByte time from dispatch to the first byte of the answer
     */
    public data class Answered(
        val timeToFirstByte: Duration,
        val workClass: WorkClass,
    ) : CallOutcome

    /** The upstream refused the call before running it. */
    public data object Refused : CallOutcome

    /** The connection broke, stayed silent or the answer was malformed. */
    public data object Failed : CallOutcome

    /** The call was not sent, or the caller cancelled it; says nothing about the upstream. */
    public data object Abandoned : CallOutcome
}
