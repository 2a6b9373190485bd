package io.buckthornlever.core.serving

import io.buckthornlever.api.serving.StateChange
import io.buckthornlever.api.serving.StateObject
import io.buckthornlever.api.serving.StateValue
import io.buckthornlever.api.serving.StoreRevision
import java.time.Duration

/**
 * Objects of one kind with their recent changes, as a relay has read them from the shared store, for the instances that follow it.
 * They are available only while the store has confirmed them within [maxAge]. Not thread-safe.
 *
 * Of each object only the last change is kept: a follower needs the state after all changes, and a history of whole objects would
 * grow with the number of changes.
 */
public class RelayLog(
    private val maxAge: Duration,
) {
    private val objects = LinkedHashMap<String, StateObject>()
    private val pending = LinkedHashMap<String, StateChange>()

    /** Last change of each object by name, the oldest first. */
    private val history = LinkedHashMap<String, Entry>()

    /** The last change of each object that changed after this revision is in [history]. */
    private var historyStart = 0L
    private var isInitialised = false
    private var confirmedAt = NEVER
    private var pausedAt = NEVER

    /** Revision up to which all changes are known; 0 before the first. */
    public var revision: Long = 0L
        private set

    /** Records a new or changed object. */
    public fun onChanged(item: StateObject) {
        objects[item.name] = item
        pending[item.name] = StateChange(item, false)
    }

    /** Records that [value] is in force instead of the stored content of all objects; the store may lack it. */
    public fun onReplaced(value: StateValue): Unit = objects.values.toList().forEach { onChanged(it.copy(value = value)) }

    /** Records that the object [name] was deleted. */
    public fun onDeleted(name: String) {
        objects.remove(name)
        pending[name] = StateChange(StateObject(name, 0, null), true)
    }

    /** Records that all changes up to [revision] are known as of [asOfNanos]; returns true if there were any since the last call. */
    public fun onSynchronised(
        revision: Long,
        asOfNanos: Long,
    ): Boolean {
        if (!isInitialised) historyStart = revision
        isInitialised = true
        for ((name, change) in pending) {
            history.remove(name)
            // A deletion gets the revision at which it was seen, so that no older listing restores the object.
            history[name] = Entry(revision, if (change.deleted) change.copy(changed = change.changed.copy(revision = revision)) else change)
        }
        trimHistory()
        val any = pending.isNotEmpty()
        pending.clear()
        this.revision = maxOf(this.revision, revision)
        if (asOfNanos >= pausedAt) confirmedAt = maxOf(confirmedAt, asOfNanos)
        return any
    }

    /** Discards the confirmation after a pause that ended at [nanos], since the monotonic clock may not have counted the pause. */
    public fun onPause(nanos: Long) {
        confirmedAt = NEVER
        pausedAt = nanos
    }

    /** True while the store has confirmed the content within [maxAge], so that [reply] is not [RelayReply.Unavailable]. */
    public fun isAvailable(nanos: Long): Boolean = confirmedAt != NEVER && nanos - confirmedAt <= maxAge.toNanos()

    /** Returns the changes after revision [since], or all objects when it is null. */
    public fun reply(
        since: Long?,
        nanos: Long,
    ): RelayReply {
        if (!isAvailable(nanos)) return RelayReply.Unavailable
        if (since == null) return RelayReply.Changes(objects.values.map { StateChange(it, false) }, revision, confirmedAt)
        // A follower may know changes that the store has lost, of which this log has no deletion.
        if (since < historyStart || StoreRevision.eraOf(since) < StoreRevision.eraOf(revision)) return RelayReply.HistoryGone
        if (StoreRevision.eraOf(since) > StoreRevision.eraOf(revision)) return RelayReply.Unavailable
        val changes = history.values.filter { it.revision > since }.map { it.change }
        return RelayReply.Changes(changes, maxOf(revision, since), confirmedAt)
    }

    private fun trimHistory() {
        val oldest = history.values.iterator()
        while (history.size > MAX_HISTORY) {
            historyStart = maxOf(historyStart, oldest.next().revision)
            oldest.remove()
        }
    }

    private class Entry(
        val revision: Long,
        val change: StateChange,
    )

    private companion object {
        const val NEVER = Long.MIN_VALUE

        /** Several times the upstreams of a large site, so that a follower that was away briefly need not list all objects. */
        const val MAX_HISTORY = 1_024
    }
}
