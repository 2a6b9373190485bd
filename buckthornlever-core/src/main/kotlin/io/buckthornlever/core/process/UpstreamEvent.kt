package io.buckthornlever.core.process

import java.time.Instant

/** Observation of an entry instance about one upstream. */
public sealed interface UpstreamEvent {
    /** The platform's list contains the upstream; [leaving] is true once its end is announced. */
    public data class Listed(
        val leaving: Boolean,
    ) : UpstreamEvent

    /** A complete read of the platform's list does not contain the upstream. */
    public data object Unlisted : UpstreamEvent

    /** The upstream reported its load. */
    public data class Reported(
        val capacity: Int,
        val cold: Boolean,
        val leaving: Boolean,
    ) : UpstreamEvent

    /** The cloud will reclaim the upstream's instance at [endsAt]. */
    public data class ReclaimNotice(
        val endsAt: Instant,
    ) : UpstreamEvent

    /** A connection failed or timed out. */
    public data object Failed : UpstreamEvent

    /** The upstream refused a call for lack of capacity. */
    public data object Refused : UpstreamEvent

    /** A call or probe was answered. */
    public data object Answered : UpstreamEvent
}
