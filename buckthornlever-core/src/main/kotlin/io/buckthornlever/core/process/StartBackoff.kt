package io.buckthornlever.core.process

import java.time.Duration
import java.time.Instant

/** Waits after refused starts, per offer and doubling, while other offers are tried. */
internal class StartBackoff {
    private class Wait(
        val length: Duration,
        val until: Instant,
    )

    private val waits = HashMap<OfferKey, Wait>()

    fun refused(
        key: OfferKey,
        now: Instant,
    ) {
        val length = waits[key]?.length?.multipliedBy(2)?.coerceAtMost(LONGEST) ?: FIRST
        waits[key] = Wait(length, now.plus(length))
    }

    fun succeeded(key: OfferKey) {
        waits.remove(key)
    }

    fun blocked(
        key: OfferKey,
        now: Instant,
    ): Boolean = waits[key]?.let { now < it.until } == true

    private companion object {
        val FIRST: Duration = Duration.ofSeconds(30)
        val LONGEST: Duration = Duration.ofMinutes(10)
    }
}
