package io.buckthornlever.gateway.process

import io.buckthornlever.api.serving.StateKind

/** Paths and query parameters of requests to a relay. */
internal object RelayPaths {
    /** Revision after which changes are requested; all objects are requested if it is absent. */
    const val SINCE = "since"

    /** Time for which the relay may hold the request until there are changes, in milliseconds. */
    const val WAIT_MILLIS = "wait"

    /** Version of [PeerProtocol] that the asking instance knows; absent from releases that state none. */
    const val VERSION = "version"

    /** Serving table in force if its version is above the stated one, whether or not the store has confirmed it recently. */
    const val NEWER_TABLE = "/table"

    fun of(kind: StateKind): String = "/state/" + kind.name.lowercase().replace('_', '-')
}
