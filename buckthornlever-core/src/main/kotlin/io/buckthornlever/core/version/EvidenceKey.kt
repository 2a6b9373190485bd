package io.buckthornlever.core.version

import io.buckthornlever.api.process.RouteName
import kotlinx.serialization.Serializable

/** What a row of counters is about; versions are told apart as old and new version of the move. */
@Serializable
public data class EvidenceKey(
    val route: RouteName,
    val newVersion: Boolean,
    val underLoad: Boolean,
    val slot: EvidenceSlot,
)
