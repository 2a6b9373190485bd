package io.buckthornlever.standin.request

import java.time.Instant

/**
 * A death of an engine.
 *
 * @property interrupted ids of the requests that were in flight
 */
public data class EngineCrash(
    val cause: CrashCause,
    val at: Instant,
    val interrupted: List<String>,
)
