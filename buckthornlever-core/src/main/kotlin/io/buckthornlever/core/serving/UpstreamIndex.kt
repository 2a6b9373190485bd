package io.buckthornlever.core.serving

import io.buckthornlever.api.version.VersionLabel

/**
 * Index of the eligible upstreams, by service and by the versions that a request allows. It is updated on the first request after a
 * change. Not thread-safe.
 *
 * @param entries all upstreams
 * @param isOpen returns true if an upstream may get any requests
 */
internal class UpstreamIndex(
    private val entries: () -> Collection<UpstreamEntry>,
    private val isOpen: (UpstreamEntry) -> Boolean,
) {
    private val groups = HashMap<GroupKey, IndexedGroup>()
    private val lives = HashMap<Int, UpstreamEntry?>()
    private var changes = 0L
    private var livesAsOf = -1L

    /** Records that upstreams were added or removed, or may have become eligible for other requests. */
    fun onChanged() {
        changes++
    }

    /** Upstreams that are eligible for the request of [query], tried ones included. */
    fun group(query: PlacementQuery): UpstreamGroup {
        val key = GroupKey(query.service, query.requiredVersion, query.excludedVersion)
        if (groups.size > MAX_GROUPS && key !in groups) groups.clear()
        val indexed = groups.getOrPut(key) { IndexedGroup() }
        if (indexed.asOf != changes) {
            indexed.asOf = changes
            indexed.group.update(
                entries().filter { it.upstream.service == query.service && isOpen(it) && query.allows(it.upstream.version) },
            )
        }
        return indexed.group
    }

    /** The upstream with the key [life] in messages between instances; null if there is none or more than one. */
    fun byLife(life: Int): UpstreamEntry? {
        if (livesAsOf != changes) {
            livesAsOf = changes
            lives.clear()
            for (entry in entries()) lives[entry.life] = if (entry.life in lives) null else entry
        }
        return lives[life]
    }

    private data class GroupKey(
        val service: String,
        val requiredVersion: VersionLabel?,
        val excludedVersion: VersionLabel?,
    )

    private class IndexedGroup {
        val group = UpstreamGroup()
        var asOf = -1L
    }

    private companion object {
        /** Services and versions that are asked for at the same time are far fewer. */
        const val MAX_GROUPS = 64
    }
}
