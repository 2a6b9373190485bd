package io.buckthornlever.core.version

import io.buckthornlever.api.process.RouteName

/** Key of an evidence row: the route, the version (old or new version of the move), the load state and the time window. */
internal data class EvidenceKey(
    val route: RouteName,
    val isNewVersion: Boolean,
    val underLoad: Boolean,
    val window: EvidenceWindow,
)
