package io.buckthornlever.core.version

import io.buckthornlever.api.version.VersionLabel

/**
 * Split of a pool's new requests between the two versions of its move.
 *
 * @property newPermille share of [new], in permille; the rest goes to [old]
 */
public data class VersionWeights(
    val old: VersionLabel,
    val new: VersionLabel,
    val newPermille: Int,
)
