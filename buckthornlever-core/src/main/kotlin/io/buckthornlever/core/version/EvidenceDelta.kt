package io.buckthornlever.core.version

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.RouteName
import io.buckthornlever.api.version.MoveId
import kotlinx.serialization.Serializable

/**
 * Evidence rows of one instance that changed since its previous delta, or all of its rows.
 *
 * @property routes routes to which the rows refer by index
 * @property values the rows, flattened; see [EvidenceCodec]
 */
@Serializable
public data class EvidenceDelta(
    val instance: InstanceId,
    val move: MoveId,
    val routes: List<RouteName>,
    val values: List<Int>,
)
