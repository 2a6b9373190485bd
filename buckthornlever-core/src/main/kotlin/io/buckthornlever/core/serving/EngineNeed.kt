package io.buckthornlever.core.serving

import kotlin.math.ceil

/**
 * Decides how many engines the demand for one service needs.
 *
 * It is made for bursts of 1.7 to 2.3 times the usual load for some seconds, which an order follows 4 s later: the need rises at once,
 * and falls when it has been lower for [HOLD_NANOS]. The learned pace gives the number for the demand. The mean wait corrects it
 * for what the pace does not show: output, large prompts, slow machines. Not thread-safe.
 */
internal class EngineNeed {
    /** Recent needs in order of time, each larger than those after it; the first one is the largest. */
    private val recent = ArrayDeque<Sample>()
    private var correction = 1.0
    private var updatedNanos: Long? = null
    private var current = 0
    private var isCorrectionKnown = false

    /**
     * Returns the engines needed for [demand].
     *
     * @param coveredByRunning need that the running engines cover; a new lease holder goes on from it
     * @param haveOrdersArrived false while engines that were ordered do not serve yet, which will shorten the wait
     */
    fun update(
        demand: EngineDemand,
        coveredByRunning: Double,
        haveOrdersArrived: Boolean,
        nanos: Long,
    ): Int {
        val seconds = minOf(MAX_STEP_NANOS, nanos - (updatedNanos ?: nanos)) / NANOS_PER_SECOND
        updatedNanos = nanos
        val rate = (demand.engineTokensPerSecond ?: PRIOR_ENGINE_TOKENS).coerceIn(MIN_ENGINE_TOKENS, MAX_ENGINE_TOKENS) * USED_SHARE
        val uncorrected = demand.tokensPerSecond / rate
        if (!isCorrectionKnown && demand.isComplete && uncorrected > 0) {
            // The previous holder has found that fewer do. That more run need not have a reason that still holds.
            correction = (coveredByRunning / uncorrected).coerceIn(MIN_CORRECTION, 1.0)
            isCorrectionKnown = true
        }
        correct(demand, haveOrdersArrived, seconds)
        val wanted = maxOf(1, ceil(uncorrected * correction).toInt())
        while (recent.isNotEmpty() && recent.last().engines <= wanted) recent.removeLast()
        recent.addLast(Sample(wanted, nanos))
        while (nanos - recent.first().nanos > HOLD_NANOS) recent.removeFirst()
        val held = recent.first().engines
        if (held > current || held <= current * (1 - MIN_DECREASE)) current = held
        return current
    }

    private fun correct(
        demand: EngineDemand,
        haveOrdersArrived: Boolean,
        seconds: Double,
    ) {
        val age = demand.load.age
        if (age == null || age.toNanos() > MAX_AGE_NANOS) {
            correction += (1.0 - correction) * seconds * RETURN_PER_SECOND
            return
        }
        val pressure = demand.load.meanWait.toNanos().toDouble() / maxOf(1L, demand.bearableWait.toNanos())
        val change =
            when {
                pressure > HIGH_PRESSURE && haveOrdersArrived -> minOf(MAX_GROWTH_PER_SECOND, pressure - HIGH_PRESSURE)
                pressure < LOW_PRESSURE && demand.isComplete -> -DECREASE_PER_SECOND
                else -> 0.0
            }
        correction = (correction * (1.0 + change * seconds)).coerceIn(MIN_CORRECTION, MAX_CORRECTION)
    }

    private class Sample(
        val engines: Int,
        val nanos: Long,
    )

    private companion object {
        const val NANOS_PER_SECOND = 1e9

        /**
         * Share of the time for which an engine reads prompts before the correction. After the smallest correction what is left by the
         * reclaim of a failure domain bears a burst of 1.7 times the load with a fifth of the time for output.
         */
        const val USED_SHARE = 0.4

        /** Pace until one is learned; the present plan counts on half of it, with shared parts included. */
        const val PRIOR_ENGINE_TOKENS = 60_000.0

        /** Bounds that keep a wrong pace from ordering almost nothing or everything. */
        const val MIN_ENGINE_TOKENS = 20_000.0
        const val MAX_ENGINE_TOKENS = 120_000.0

        /** Time for which a need counts: somewhat longer than the start of an engine, which handing it back too early would cost. */
        const val HOLD_NANOS = 6_000_000_000L

        /** Smaller decreases are left out, since the demand of a few seconds varies by that much. */
        const val MIN_DECREASE = 0.1

        /** Fractions of the bearable wait; requests are delayed for lack of engines from 0.45, see [ServiceOverload]. */
        const val HIGH_PRESSURE = 0.3
        const val LOW_PRESSURE = 0.12

        /** Doubles the need within the time that an order takes to come into service. */
        const val MAX_GROWTH_PER_SECOND = 0.25

        /** Slow enough for the wait to show the effect before the next engines are handed back. */
        const val DECREASE_PER_SECOND = 0.03
        const val RETURN_PER_SECOND = 0.1

        /** See [USED_SHARE]. */
        const val MIN_CORRECTION = 0.85
        const val MAX_CORRECTION = 2.0

        /** Older figures do not count, as for [ServiceOverload]. */
        const val MAX_AGE_NANOS = 2_000_000_000L

        /** Longest time for which one update changes the correction. */
        const val MAX_STEP_NANOS = 1_000_000_000L
    }
}
