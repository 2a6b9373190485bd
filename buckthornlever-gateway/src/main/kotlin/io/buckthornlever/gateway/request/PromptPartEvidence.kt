package io.buckthornlever.gateway.request

import io.buckthornlever.api.process.Clock
import io.buckthornlever.core.serving.AttemptEnd
import io.buckthornlever.core.serving.PoisonPartTracker

/** Tells [tracker] whether upstreams survive the [sharedParts] of the prompt of one request. */
internal class PromptPartEvidence(
    private val tracker: PoisonPartTracker,
    private val sharedParts: List<Long>,
    private val clock: Clock,
) {
    private var isProven = false

    /** The parts as a field of a log line; null if there are none. */
    val loggedParts: String? get() = sharedParts.joinToString(",") { it.toULong().toString(HEX_RADIX) }.ifEmpty { null }

    /** An upstream has survived the request. */
    fun onProven() {
        if (isProven) return
        isProven = true
        if (sharedParts.isNotEmpty()) tracker.onOutput(sharedParts, nowMillis())
    }

    /** [attempt] has ended with [end]; it counts as a crash unless its output shows that the request was not the cause. */
    fun onAttemptEnded(
        attempt: Attempt,
        end: AttemptEnd,
    ) {
        if (end !is AttemptEnd.Broken || !end.isConnectionLost || attempt.hasProvenOutput) return
        tracker.onCrash(sharedParts, attempt.entry.upstream.id, nowMillis())
    }

    private fun nowMillis(): Long = clock.now().toEpochMilli()

    private companion object {
        const val HEX_RADIX = 16
    }
}
