package io.buckthornlever.core.serving

import kotlin.math.sqrt

/** What the load figures of all upstreams of one service tell about each other. Not thread-safe. */
internal class ServiceFigures {
    private val load = ChangeRate(0.0, INITIAL_LOAD_CHANGES_PER_SECOND)
    private val slowdown = ChangeRate(1.0, INITIAL_SLOWDOWN_CHANGES_PER_SECOND)
    private var slowdownStatedNanos: Long? = null

    /** Rates at which load and slowdown are seen to change, per second. */
    val loadChangesPerSecond: Double get() = load.perSecond
    val slowdownChangesPerSecond: Double get() = slowdown.perSecond

    /** Mean slowdown of the upstreams; 1 if they state none. */
    val meanSlowdown: Double get() = slowdown.mean

    /** True if upstreams of the service state a slowdown. */
    fun statesSlowdown(nanos: Long): Boolean = slowdownStatedNanos?.let { nanos - it <= STATED_NANOS } ?: false

    /** Records that [entry] stated [figure] and held requests of other instances as [loadShare] of its slots; before it changes. */
    fun observe(
        entry: UpstreamEntry,
        figure: LoadFigure,
        loadShare: Double,
    ) {
        val previous = entry.figure
        val interval = figure.nanos - (previous?.nanos ?: 0)
        load.observe(loadShare, previous?.let { entry.loadShareOfOtherInstances }, interval)
        val stated = figure.slowdown ?: return
        slowdown.observe(stated, previous?.slowdown, interval)
        slowdownStatedNanos = maxOf(slowdownStatedNanos ?: Long.MIN_VALUE, figure.nanos)
    }

    /** Requests of other instances that [entry] can be expected to hold; 0 for one that has not stated any load yet. */
    fun expectedLoadOfOthers(
        entry: UpstreamEntry,
        nanos: Long,
    ): Double {
        val figure = entry.figure ?: return 0.0
        return load.expected(entry.loadShareOfOtherInstances, nanos - figure.nanos) * entry.slots
    }

    /** Slowdown to be expected at [entry]. */
    fun expectedSlowdown(
        entry: UpstreamEntry,
        nanos: Long,
    ): Double {
        val figure = entry.figure ?: return meanSlowdown
        return figure.slowdown?.let { slowdown.expected(it, nanos - figure.nanos) } ?: meanSlowdown
    }

    /**
     * Requests of other instances, as a share of its slots, by which the load of [entry] may differ from the expected one since its figure
     * is old: a draw for [noise] from -1 to 1. Instances that have the same old figures thus do not all act on the same differences.
     */
    fun drawnLoadShare(
        entry: UpstreamEntry,
        noise: Double,
        nanos: Long,
    ): Double {
        val figure = entry.figure ?: return 0.0
        return noise * UNIFORM_WIDTH * load.deviation(nanos - figure.nanos)
    }

    /** Slowdown of [entry] by now, drawn likewise. */
    fun drawnSlowdown(
        entry: UpstreamEntry,
        noise: Double,
        nanos: Long,
    ): Double {
        val figure = entry.figure ?: return meanSlowdown
        val drawn = expectedSlowdown(entry, nanos) + noise * UNIFORM_WIDTH * slowdown.deviation(nanos - figure.nanos)
        return maxOf(MIN_DRAWN_SLOWDOWN, drawn)
    }

    /** Standard deviation of the slowdown of [entry] by now from the expected one. */
    fun slowdownDeviation(
        entry: UpstreamEntry,
        nanos: Long,
    ): Double {
        val age = figureAge(entry, nanos)
        val weight = slowdown.weight(age)
        val prior = INITIAL_SLOWDOWN_DEVIATION * sqrt(1 - weight * weight)
        val priorShare = INITIAL_FIGURES / (INITIAL_FIGURES + slowdown.observed)
        return priorShare * prior + (1 - priorShare) * slowdown.deviation(age)
    }

    /** Standard deviation of the load of other instances at [entry] by now from the expected one, as a share of its slots. */
    fun loadDeviation(
        entry: UpstreamEntry,
        nanos: Long,
    ): Double = load.deviation(figureAge(entry, nanos))

    /** True if the slowdown of [entry] is unlikely to have changed since its figure, by the rate at which slowdowns change. */
    fun isSlowdownNew(
        entry: UpstreamEntry,
        nanos: Long,
    ): Boolean = slowdown.weight(figureAge(entry, nanos)) >= NEW_WEIGHT

    private fun figureAge(
        entry: UpstreamEntry,
        nanos: Long,
    ): Long = entry.figure?.let { nanos - it.nanos } ?: UNKNOWN_AGE_NANOS

    private companion object {
        /** Age that stands for no figure at all; no change rate leaves weight after it. */
        const val UNKNOWN_AGE_NANOS = 1_000_000_000_000L

        /** Weight of a figure that is a third as old as the interval in which slowdowns change. */
        const val NEW_WEIGHT = 0.7

        /** Deviation of the slowdown until it is learned, and the figures that count as much: a tenth of the machines at 2.5. */
        const val INITIAL_SLOWDOWN_DEVIATION = 0.5
        const val INITIAL_FIGURES = 30.0

        /** Half of the width of a uniform distribution with a standard deviation of 1. */
        const val UNIFORM_WIDTH = 1.7320508
        const val MIN_DRAWN_SLOWDOWN = 0.5

        /** With it a load counts a tenth after 4.5 s, as long as nothing is learned. */
        const val INITIAL_LOAD_CHANGES_PER_SECOND = 0.5
        const val INITIAL_SLOWDOWN_CHANGES_PER_SECOND = 1.0

        /** Time after the last stated slowdown for which the upstreams are taken to state one. */
        const val STATED_NANOS = 30_000_000_000L
    }
}
