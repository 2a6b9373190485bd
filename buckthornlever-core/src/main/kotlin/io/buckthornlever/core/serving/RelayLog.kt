package io.buckthornlever.core.serving

import io.buckthornlever.api.serving.StateChange
import io.buckthornlever.api.serving.StateObject
import java.time.Duration

/**
 * Objects of one kind as an instance has read them from the shared store, for other instances that follow this one instead of
 * the store. It vouches for its content only while the store has confirmed it within [maxAge]. Not thread-safe.
 */
public class RelayLog(
    private val maxAge: Duration,
) {
    private val objects = LinkedHashMap<String, StateObject>()
    private val pending = ArrayList<StateChange>()
    private val recent = ArrayDeque<Entry>()

    /** Changes after this revision are all in [recent]. */
    private var completeAfter = 0L
    private var complete = false
    private var revision = 0L
    private var asOf = NEVER
    private var pausedAt = NEVER

    /** An object is new or has changed. */
    public fun onChanged(item: StateObject) {
        objects[item.name] = item
        pending.add(StateChange(item, false))
    }

    /** The object [name] is gone. */
    public fun onDeleted(name: String) {
        objects.remove(name)
        pending.add(StateChange(StateObject(name, 0, null), true))
    }

    /** All changes up to [revision] have been delivered, as the store was at [asOfNanos]; returns true if there were any. */
    public fun onSynchronised(
        revision: Long,
        asOfNanos: Long,
    ): Boolean {
        if (!complete) completeAfter = revision
        complete = true
        // A deletion carries the revision at which it was seen, so that no older listing brings the object back.
        pending.mapTo(recent) { change ->
            Entry(revision, if (change.deleted) change.copy(changed = change.changed.copy(revision = revision)) else change)
        }
        while (recent.size > MAX_RECENT) completeAfter = recent.removeFirst().revision
        val any = pending.isNotEmpty()
        pending.clear()
        this.revision = maxOf(this.revision, revision)
        if (asOfNanos >= pausedAt) asOf = maxOf(asOf, asOfNanos)
        return any
    }

    /** Forgets the confirmation, since the clock may not have counted a pause of this machine that ended at [nanos]. */
    public fun onPause(nanos: Long) {
        asOf = NEVER
        pausedAt = nanos
    }

    /** True while [reply] would not be [RelayReply.Unavailable]. */
    public fun isAvailable(nanos: Long): Boolean = asOf != NEVER && nanos - asOf <= maxAge.toNanos()

    /** Changes after revision [since], everything when it is null. */
    public fun reply(
        since: Long?,
        nanos: Long,
    ): RelayReply {
        if (!isAvailable(nanos)) return RelayReply.Unavailable
        if (since == null) return RelayReply.Changes(objects.values.map { StateChange(it, false) }, revision, asOf)
        if (since < completeAfter) return RelayReply.HistoryGone
        val changes = recent.filter { it.revision > since }.map { it.change }
        return RelayReply.Changes(changes, maxOf(revision, since), asOf)
    }

    private class Entry(
        val revision: Long,
        val change: StateChange,
    )

    private companion object {
        const val NEVER = Long.MIN_VALUE

        /** Several times the upstreams of a large site, so that a follower that was away shortly need not list. */
        const val MAX_RECENT = 1_024
    }
}
