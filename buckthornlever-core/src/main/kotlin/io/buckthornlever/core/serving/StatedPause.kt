package io.buckthornlever.core.serving

import java.time.Duration

/** What an upstream that turns a request away says about when it wants requests from this instance again. */
public sealed interface StatedPause {
    /** It says nothing about it. */
    public data object None : StatedPause

    /** It wants none for [time]. */
    public data class For(
        val time: Duration,
    ) : StatedPause

    /** It names a time that is not a number of seconds. */
    public data object Unreadable : StatedPause
}
