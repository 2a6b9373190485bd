package io.buckthornlever.gateway.connection

import io.buckthornlever.core.serving.CallerRefusal

/** Is told what the limits on callers do, and which failures of single connections were contained. */
public interface CallerLimitObserver {
    /** A caller was refused, or its connection closed, for [reason]. */
    public fun onRefused(reason: CallerRefusal)

    /** [cause] has ended one connection. */
    public fun onConnectionFailed(cause: Throwable)

    /** Observer that ignores everything. */
    public object None : CallerLimitObserver {
        override fun onRefused(reason: CallerRefusal): Unit = Unit

        override fun onConnectionFailed(cause: Throwable): Unit = Unit
    }
}
