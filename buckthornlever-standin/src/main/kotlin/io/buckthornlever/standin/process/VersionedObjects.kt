package io.buckthornlever.standin.process

import java.util.TreeMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Objects with versions from one counter; deleted ones stay as entries without value for watches. */
internal class VersionedObjects {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private val entries = TreeMap<String, VersionedEntry>()
    private var revision = 0L

    fun get(key: String): VersionedEntry? = lock.withLock { entries[key]?.takeIf { it.value != null } }

    fun put(
        key: String,
        value: String,
    ): Long = lock.withLock { store(key, value) }

    /** Writes if the version of [key] is [expected]; null expects that the key does not exist. */
    fun putIf(
        key: String,
        value: String,
        expected: Long?,
    ): ConditionalWrite =
        lock.withLock {
            val current = get(key)?.version
            if (current == expected) ConditionalWrite(true, store(key, value)) else ConditionalWrite(false, current)
        }

    fun deleteIf(
        key: String,
        expected: Long,
    ): ConditionalWrite =
        lock.withLock {
            val current = get(key)?.version
            if (current == expected) ConditionalWrite(true, store(key, null)) else ConditionalWrite(false, current)
        }

    fun list(prefix: String): VersionedListing =
        lock.withLock { VersionedListing(revision, below(prefix).filter { it.value != null }) }

    /** Changes after [since] below [prefix]; waits up to [waitNanos] for one unless [abandoned] becomes true. */
    fun changes(
        prefix: String,
        since: Long,
        waitNanos: Long,
        abandoned: () -> Boolean,
    ): VersionedListing =
        lock.withLock {
            var remaining = waitNanos
            var found = changedSince(prefix, since)
            while (found.isEmpty() && remaining > 0 && !abandoned()) {
                val slice = minOf(remaining, SLICE_NANOS)
                remaining -= slice - changed.awaitNanos(slice).coerceAtLeast(0)
                found = changedSince(prefix, since)
            }
            VersionedListing(revision, found)
        }

    private fun changedSince(
        prefix: String,
        since: Long,
    ): List<VersionedEntry> = if (revision <= since) emptyList() else below(prefix).filter { it.version > since }

    private fun below(prefix: String): List<VersionedEntry> =
        entries.tailMap(prefix).values.asSequence().takeWhile { it.key.startsWith(prefix) }.toList()

    private fun store(
        key: String,
        value: String?,
    ): Long {
        revision += 1
        entries[key] = VersionedEntry(key, revision, value)
        changed.signalAll()
        return revision
    }

    private companion object {
        /** Longest time until a waiting watch notices an outage or a client that has left. */
        val SLICE_NANOS: Long = TimeUnit.MILLISECONDS.toNanos(50)
    }
}
