package io.buckthornlever.core.process.configuration

import kotlinx.serialization.Serializable

/**
 * Entries of one table that are newer than [since].
 *
 * @property since revision from which the change leads to [revision]; null when [changed] is the whole table
 * @property removed names of entries that no longer exist
 * @property digest checksum over all entries of the resulting table, in their order
 */
@Serializable
public data class EntryDelta<E>(
    val since: Long?,
    val revision: Long,
    val changed: List<E>,
    val removed: List<String>,
    val digest: Long,
)
