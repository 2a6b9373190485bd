package io.buckthornlever.core.version

/**
 * Time window over which attempts are counted.
 *
 * @property lengthSeconds length of the window, one of [EvidenceWindows.LENGTHS_SECONDS]
 * @property index index of the window, counted from 0 at the start of the move
 */
internal data class EvidenceWindow(
    val lengthSeconds: Int,
    val index: Int,
)
