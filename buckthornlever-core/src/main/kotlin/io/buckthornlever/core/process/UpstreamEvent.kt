package io.buckthornlever.core.process

import java.time.Instant

/** What an entry instance learns about one upstream. */
public sealed interface UpstreamEvent {
    /** The platform's list shows the upstream; [leaving] once its end is announced. */
    public data class Listed(
        val leaving: Boolean,
    ) : UpstreamEvent

    /** A complete read of the platform's list does not show the upstream. */
    public data object Unlisted : UpstreamEvent

    /** The upstream reported its load. */
    public data class Reported(
        val capacity: Int,
        val cold: Boolean,
        val leaving: Boolean,
    ) : UpstreamEvent

    /** The cloud will take the upstream's instance back at [endsAt]. */
    public data class ReclaimNotice(
        val endsAt: Instant,
    ) : UpstreamEvent

    /** A connection failed or stayed silent. */
    public data object Failed : UpstreamEvent

    /** The upstream refused a call for lack of capacity. */
    public data object Refused : UpstreamEvent

    /** A call or probe was answered. */
    public data object Answered : UpstreamEvent
}
