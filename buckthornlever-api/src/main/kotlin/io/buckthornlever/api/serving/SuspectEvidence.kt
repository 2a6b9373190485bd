package io.buckthornlever.api.serving

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What is known about a prompt part that may crash upstreams.
 *
 * @property crashes crashes that ended a run with the part before it had output
 * @property lastOutputMillis time of the last output of a run with the part, in milliseconds since the epoch; null if none is known
 */
@Serializable
public data class SuspectEvidence(
    @SerialName("c") val crashes: Set<CrashSighting>,
    @SerialName("o") val lastOutputMillis: Long? = null,
)
