package io.buckthornlever.core.process.configuration

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import java.util.zip.CRC32

/**
 * One table with the revision at which each entry last changed, so that a peer can be sent only what it lacks. When revisions were
 * skipped, an entry's revision is an upper bound; a delta then holds more than needed, never less.
 */
internal class TableHistory<E>(
    private val serializer: KSerializer<E>,
    private val nameOf: (E) -> String,
) {
    private class Versioned<E>(
        val entry: E,
        val revision: Long,
        val checksum: Long,
    )

    private var entries = LinkedHashMap<String, Versioned<E>>()
    private val removed = LinkedHashMap<String, Long>()
    private var minDeltaRevision = 0L
    private var revision = 0L
    private var digest = 0L

    /** Replaces the entries by those of [table], which has [newRevision]. */
    fun replace(table: List<E>, newRevision: Long) {
        val next = LinkedHashMap<String, Versioned<E>>()
        for (entry in table) {
            val name = nameOf(entry)
            val known = entries[name]
            val same = known?.takeIf { it.entry == entry }
            next[name] = same ?: Versioned(entry, newRevision, checksum(entry))
            removed.remove(name)
        }
        entries.keys.filter { it !in next }.forEach { removed[it] = newRevision }
        if (revision == 0L) minDeltaRevision = newRevision
        entries = next
        revision = newRevision
        digest = digest(next.values.map { it.checksum })
        trimRemoved()
    }

    /** Changes since revision [since]; null when there are none. */
    fun delta(since: Long): EntryDelta<E>? {
        if (since >= revision) return null
        if (since < minDeltaRevision) return EntryDelta(null, revision, entries.values.map { it.entry }, emptyList(), digest)
        val changed = entries.values.filter { it.revision > since }.map { it.entry }
        val gone = removed.filterValues { it > since }.keys.toList()
        return EntryDelta(since, revision, changed, gone, digest)
    }

    /** The table that results from [delta]; null when [delta] does not apply to this table and the whole table is needed. */
    fun apply(delta: EntryDelta<E>): List<E>? {
        val since = delta.since
        if (since != null && since > revision) return null
        val result = LinkedHashMap<String, E>()
        if (since != null) entries.forEach { (name, versioned) -> result[name] = versioned.entry }
        delta.removed.forEach { result.remove(it) }
        delta.changed.forEach { result[nameOf(it)] = it }
        val table = result.values.toList()
        return if (digest(table.map { checksumOf(it) }) == delta.digest) table else null
    }

    private fun checksumOf(entry: E): Long {
        val known = entries[nameOf(entry)]
        return if (known != null && known.entry === entry) known.checksum else checksum(entry)
    }

    private fun checksum(entry: E): Long {
        val crc = CRC32()
        crc.update(Json.encodeToString(serializer, entry).toByteArray())
        return crc.value
    }

    private fun digest(checksums: List<Long>): Long = checksums.fold(1L) { sum, next -> sum * PRIME + next }

    private fun trimRemoved() {
        val iterator = removed.entries.iterator()
        while (removed.size > MAX_REMOVED) {
            minDeltaRevision = maxOf(minDeltaRevision, iterator.next().value)
            iterator.remove()
        }
    }

    private companion object {
        const val PRIME = 1_000_003L

        /** Bounds the memory for names of removed entries; a requester with an older revision is sent the whole table. */
        const val MAX_REMOVED = 1_000
    }
}
