package io.buckthornlever.bench.version

/**
 * What is wrong with the new version in a simulated move.
 *
 * @property fails attempts fail
 * @property slows attempts take longer
 * @property later starts some time into the move
 * @property underLoad shows only at half of the capacity or more
 * @property oneRoute shows on one route only
 */
internal enum class MoveFault(
    val fails: Boolean = false,
    val slows: Boolean = false,
    val later: Boolean = false,
    val underLoad: Boolean = false,
    val oneRoute: Boolean = false,
) {
    NONE,
    FAILS(fails = true),
    SLOWS(slows = true),
    FAILS_LATER(fails = true, later = true),
    SLOWS_LATER(slows = true, later = true),
    FAILS_UNDER_LOAD(fails = true, underLoad = true),
    SLOWS_UNDER_LOAD(slows = true, underLoad = true),
    FAILS_ON_ONE_ROUTE(fails = true, oneRoute = true),
    SLOWS_ON_ONE_ROUTE(slows = true, oneRoute = true),
    FAILS_LATER_ON_ONE_ROUTE(fails = true, later = true, oneRoute = true),
    ;

    val bad: Boolean get() = fails || slows

    /** True when the fault is there from the first request on. */
    val atOnce: Boolean get() = bad && !later && !underLoad
}
