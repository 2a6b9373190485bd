package io.buckthornlever.core.serving

import java.time.Duration

/**
 * Time that an output token takes at the upstreams of each service, learned from finished streams. Tokens are those that a request is
 * expected to have; since callers state a maximum or an estimate, the learned time includes how far that is off. Not thread-safe.
 */
internal class OutputPace {
    private val millisPerToken = HashMap<String, Double>()
    private val meanTokens = HashMap<String, Double>()

    /** Records that a stream of [service] took [time] from its first to its last event, with [expectedTokens] expected before. */
    fun onFinished(
        service: String,
        expectedTokens: Int,
        time: Duration,
    ) {
        if (expectedTokens <= 0 || time.isNegative) return
        val millis = minOf(time.toNanos() / NANOS_PER_MILLI / expectedTokens, MAX_MILLIS_PER_TOKEN)
        millisPerToken.merge(service, millis) { mean, newest -> mean + (newest - mean) * WEIGHT }
        meanTokens.merge(service, expectedTokens.toDouble()) { mean, newest -> mean + (newest - mean) * WEIGHT }
    }

    /** Time from the first to the last event of a stream of [service] for which [expectedTokens] are expected; 0 if not known. */
    fun timeOf(
        service: String,
        expectedTokens: Int,
    ): Duration {
        val tokens = if (expectedTokens > 0) expectedTokens.toDouble() else meanTokens[service] ?: 0.0
        val millis = millisPerToken[service] ?: INITIAL_MILLIS_PER_TOKEN
        return Duration.ofNanos((tokens * millis * NANOS_PER_MILLI).toLong())
    }

    private companion object {
        const val NANOS_PER_MILLI = 1e6

        /** Weight of the newest stream in the means. */
        const val WEIGHT = 0.05

        /** Counts until a stream has ended; the order of magnitude of current accelerators with a full batch. */
        const val INITIAL_MILLIS_PER_TOKEN = 10.0

        /** A stream that pauses for longer than this per token is broken rather than slow. */
        const val MAX_MILLIS_PER_TOKEN = 1_000.0
    }
}
