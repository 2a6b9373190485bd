package io.buckthornlever.gateway.process

import io.buckthornlever.api.serving.StateKind

/** Paths and parameters of the questions to a relay. */
internal object RelayPaths {
    /** Revision after which changes are asked for; everything is asked for without it. */
    const val SINCE = "since"

    /** Time for which the question may wait for changes, in milliseconds. */
    const val WAIT_MILLIS = "wait"

    fun of(kind: StateKind): String = "/state/" + kind.name.lowercase().replace('_', '-')
}
