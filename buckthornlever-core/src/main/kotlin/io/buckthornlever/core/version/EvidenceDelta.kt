package io.buckthornlever.core.version

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.RouteName
import kotlinx.serialization.Serializable

/**
 * Rows of one instance that changed since its previous delta.
 *
 * @property routes routes that the rows refer to by index
 * @property values the rows, flattened; see [EvidenceCodec]
 */
@Serializable
public data class EvidenceDelta(
    val instance: InstanceId,
    val move: MoveId,
    val routes: List<RouteName>,
    val values: List<Int>,
)
