package io.buckthornlever.core.serving

/** Reason why an eligible upstream gets no request at the moment. */
public enum class PlacementObstacle {
    /** It could not be reached a short time ago, or another process answered at its address. */
    UNREACHABLE,

    /** It has asked this instance for a pause. */
    PAUSED,

    /** All its slots are taken, as far as this instance knows. */
    FULL,

    /** It is cold, and this instance has used its share of the rate that it can take. */
    COLD,

    /** This instance has used its share of the rate that the upstream has stated. */
    STATED_RATE,

    /** It has just returned from a pause and is used again gradually. */
    RETURNING,
}
