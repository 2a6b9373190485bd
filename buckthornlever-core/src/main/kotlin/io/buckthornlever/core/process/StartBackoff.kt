package io.buckthornlever.core.process

import java.time.Duration
import java.time.Instant

/** Exponential backoff per offer after refused starts; other offers can be tried meanwhile. */
internal class StartBackoff {
    private class Delay(
        val length: Duration,
        val until: Instant,
    )

    private val delays = HashMap<OfferKey, Delay>()

    fun onRefused(
        key: OfferKey,
        now: Instant,
    ) {
        val length = delays[key]?.length?.multipliedBy(2)?.coerceAtMost(MAX_DELAY) ?: INITIAL_DELAY
        delays[key] = Delay(length, now.plus(length))
    }

    fun onSucceeded(key: OfferKey) {
        delays.remove(key)
    }

    fun isBlocked(
        key: OfferKey,
        now: Instant,
    ): Boolean = delays[key]?.let { now < it.until } == true

    private companion object {
        val INITIAL_DELAY: Duration = Duration.ofSeconds(30)
        val MAX_DELAY: Duration = Duration.ofMinutes(10)
    }
}
