package io.buckthornlever.daemon.version

import io.buckthornlever.api.version.MoveStatus
import io.buckthornlever.core.version.EvidenceDelta
import io.buckthornlever.core.version.VersionStop
import kotlinx.serialization.Serializable

/** Message about version moves between entry instances. */
@Serializable
internal data class MoveMessages(
    val evidence: List<EvidenceDelta> = emptyList(),
    val stops: List<VersionStop> = emptyList(),
    val statuses: List<MoveStatus> = emptyList(),
)
