package io.buckthornlever.core.serving

/**
 * Load that an upstream stated, of all instances together.
 *
 * @property running requests that it ran
 * @property waiting requests that waited there
 * @property slots requests that it can run at once; null if it did not say
 * @property slowdown factor by which work took longer than usual on its machine; null if it did not say
 * @property nanos monotonic time at which it stated this, on the clock of this instance
 */
public data class LoadFigure(
    val running: Int,
    val waiting: Int,
    val slots: Int?,
    val slowdown: Double?,
    val nanos: Long,
) {
    /** Requests that it held. */
    public val total: Int get() = running + waiting

    public companion object {
        /** More requests than an upstream can hold; its connections are limited to some thousands. */
        private const val MAX_REQUESTS = 100_000

        /** Slowdowns beyond these bounds are errors rather than a busy machine. */
        private val SLOWDOWNS = 0.05..50.0

        /**
         * The figure with these values; null if the counts cannot be right. A value of [slots] or [slowdown] that cannot be right is left
         * out, since the counts beside it may still be.
         */
        public fun of(
            running: Int,
            waiting: Int,
            slots: Int?,
            slowdown: Double?,
            nanos: Long,
        ): LoadFigure? {
            if (running !in 0..MAX_REQUESTS || waiting !in 0..MAX_REQUESTS) return null
            return LoadFigure(running, waiting, slots?.takeIf { it in 1..MAX_REQUESTS }, slowdown?.takeIf { it in SLOWDOWNS }, nanos)
        }
    }
}
