package io.buckthornlever.core.version

import io.buckthornlever.api.process.RouteName

/** What a row of counters is about; versions are told apart as old and new version of the move. */
internal data class EvidenceKey(
    val route: RouteName,
    val isNewVersion: Boolean,
    val underLoad: Boolean,
    val window: EvidenceWindow,
)
