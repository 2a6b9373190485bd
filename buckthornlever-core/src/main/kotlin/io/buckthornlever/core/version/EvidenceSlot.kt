package io.buckthornlever.core.version

/**
 * Time window to which counters belong.
 *
 * @property seconds length of the window
 * @property index number of the window since the start of the move
 */
internal data class EvidenceSlot(
    val seconds: Int,
    val index: Int,
)
