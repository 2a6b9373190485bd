package io.buckthornlever.api.serving

import com.github.michaelbull.result.Result
import io.buckthornlever.api.version.MoveStatus
import java.time.Duration

/**
 * The shared store. Callbacks run on the thread that made the call, but never before the call has returned.
 *
 * The store may be restored from a copy that lacks the newest changes, also acknowledged ones. Its revisions, as [StoreRevision]
 * describes them, then go on in the next era: watches from a revision of an earlier era fail with [StateFailure.HistoryGone], writes
 * that expect one with [StateFailure.Conflict].
 */
public interface StateStore {
    /** Highest era of the store that a response to this instance has named; 0 before the first. */
    public val era: Long

    /** Lists objects of [kind] whose names sort after [after]; [stale] permits a cheaper listing that may be seconds old. */
    public fun list(
        kind: StateKind,
        after: String?,
        stale: Boolean,
        done: (Result<StatePage, StateFailure>) -> Unit,
    )

    /** Waits at most [wait] for changes of [kind] after revision [since], which is of the current era. */
    public fun watch(
        kind: StateKind,
        since: Long,
        wait: Duration,
        done: (Result<StateChanges, StateFailure>) -> Unit,
    )

    /** Reads one object. */
    public fun read(
        kind: StateKind,
        name: String,
        done: (Result<StateObject, StateFailure>) -> Unit,
    )

    /** Creates the object if it does not exist. */
    public fun create(
        kind: StateKind,
        name: String,
        value: StateValue,
        done: (Result<StateObject, StateFailure>) -> Unit,
    )

    /** Replaces the object; when [expected] is given, only if it is the current revision. */
    public fun replace(
        kind: StateKind,
        name: String,
        expected: Long?,
        value: StateValue,
        done: (Result<StateObject, StateFailure>) -> Unit,
    )

    /** Replaces what this system records with an operator's order, [order] staying as it is, if [expected] is the current revision. */
    public fun replaceStatus(
        order: VersionOrder,
        expected: Long,
        status: MoveStatus,
        done: (Result<StateObject, StateFailure>) -> Unit,
    )

    /** Deletes the object. */
    public fun delete(
        kind: StateKind,
        name: String,
        done: (Result<Unit, StateFailure>) -> Unit,
    )
}
