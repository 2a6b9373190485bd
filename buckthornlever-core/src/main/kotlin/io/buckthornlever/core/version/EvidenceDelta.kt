package io.buckthornlever.core.version

import io.buckthornlever.api.process.InstanceId
import kotlinx.serialization.Serializable

/** Rows of one instance that changed since its previous delta. */
@Serializable
public data class EvidenceDelta(
    val instance: InstanceId,
    val move: MoveId,
    val rows: List<EvidenceRow>,
)
