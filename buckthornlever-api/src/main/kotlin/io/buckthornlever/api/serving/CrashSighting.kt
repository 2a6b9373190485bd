package io.buckthornlever.api.serving

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.math.abs

/**
 * A crash of an upstream as seen by one instance.
 *
 * @property upstream hash of the upstream's id
 * @property atMillis time at which a connection to it broke, in milliseconds since the epoch
 */
@Serializable
public data class CrashSighting(
    @SerialName("u") val upstream: Long,
    @SerialName("t") val atMillis: Long,
) {
    /** True if both instances saw the same crash; an upstream needs longer to restart than their clocks usually differ. */
    public fun isSameCrash(other: CrashSighting): Boolean = upstream == other.upstream && abs(atMillis - other.atMillis) < RESTART_MILLIS

    private companion object {
        const val RESTART_MILLIS = 1_500L
    }
}
