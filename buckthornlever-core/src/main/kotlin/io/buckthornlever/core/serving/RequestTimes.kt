package io.buckthornlever.core.serving

import java.time.Duration

/** Mean time that requests to each service take, from those of this instance. Not thread-safe. */
internal class RequestTimes {
    private val means = HashMap<String, Duration>()

    /** Records that a request to [service] took [time]. */
    fun onFinished(
        service: String,
        time: Duration,
    ) {
        val mean = means[service]
        means[service] = if (mean == null) time else mean.plus(time.minus(mean).dividedBy(WEIGHT_DIVISOR))
    }

    /** Time that a request to [service] takes. */
    fun of(service: String): Duration = means[service] ?: INITIAL_TIME

    private companion object {
        /** The newest request counts as much as this fraction of the mean. */
        const val WEIGHT_DIVISOR = 10L

        /** Counts until a request has ended. */
        val INITIAL_TIME: Duration = Duration.ofMillis(100)
    }
}
