package io.buckthornlever.core.version

/**
 * Time window to which counters belong.
 *
 * @property lengthSeconds length of the window
 * @property index number of the window since the start of the move
 */
internal data class EvidenceWindow(
    val lengthSeconds: Int,
    val index: Int,
)
