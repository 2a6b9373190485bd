package io.buckthornlever.api.serving

import com.github.michaelbull.result.Result
import io.buckthornlever.api.version.MoveStatus
import java.time.Duration

/** The shared store. Callbacks run on the thread that made the call, but never before the call has returned. */
public interface StateStore {
    /** Lists objects of [kind] whose names sort after [after]; [stale] permits a cheaper listing that may be seconds old. */
    public fun list(
        kind: StateKind,
        after: String?,
        stale: Boolean,
        done: (Result<StatePage, StateFailure>) -> Unit,
    )

    /** Waits at most [wait] for changes of [kind] after revision [since]. */
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
