package io.buckthornlever.daemon.version

import io.buckthornlever.core.version.EvidenceDelta
import io.buckthornlever.core.version.MoveStatus
import io.buckthornlever.core.version.VersionStop
import kotlinx.serialization.Serializable

/** Facts about version moves that one entry instance sends to another. */
@Serializable
internal data class MoveMessages(
    val evidence: List<EvidenceDelta> = emptyList(),
    val stops: List<VersionStop> = emptyList(),
    val statuses: List<MoveStatus> = emptyList(),
)
