package io.buckthornlever.core.version

import kotlinx.serialization.Serializable

/**
 * Time window to which counters belong.
 *
 * @property seconds length of the window
 * @property index number of the window since the start of the move
 */
@Serializable
public data class EvidenceSlot(
    val seconds: Int,
    val index: Int,
)
