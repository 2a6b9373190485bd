package io.buckthornlever.gateway.process

import com.github.michaelbull.result.Result
import io.buckthornlever.api.serving.StateChanges
import io.buckthornlever.api.serving.StateFailure
import io.buckthornlever.api.serving.StateKind
import io.buckthornlever.api.serving.StateObject
import io.buckthornlever.api.serving.StatePage
import io.buckthornlever.api.serving.StateStore
import io.buckthornlever.api.serving.StateValue
import io.buckthornlever.api.serving.VersionOrder
import io.buckthornlever.api.version.MoveStatus
import java.time.Duration

/**
 * Counts the calls to [store] in [counter].
 *
 * @param followCause cause of listings and watches
 */
internal class CountedStore(
    private val store: StateStore,
    private val counter: StoreCallCounter,
    private val followCause: StoreCallCause,
) : StateStore by store {
    override fun list(
        kind: StateKind,
        after: String?,
        stale: Boolean,
        done: (Result<StatePage, StateFailure>) -> Unit,
    ) {
        counter.onCall(kind, "list", followCause)
        store.list(kind, after, stale, done)
    }

    override fun watch(
        kind: StateKind,
        since: Long,
        wait: Duration,
        done: (Result<StateChanges, StateFailure>) -> Unit,
    ) {
        counter.onCall(kind, "watch", followCause)
        store.watch(kind, since, wait, done)
    }

    override fun read(
        kind: StateKind,
        name: String,
        done: (Result<StateObject, StateFailure>) -> Unit,
    ) {
        countObjectCall(kind, "read")
        store.read(kind, name, done)
    }

    override fun create(
        kind: StateKind,
        name: String,
        value: StateValue,
        done: (Result<StateObject, StateFailure>) -> Unit,
    ) {
        countObjectCall(kind, "create")
        store.create(kind, name, value, done)
    }

    override fun replace(
        kind: StateKind,
        name: String,
        expected: Long?,
        value: StateValue,
        done: (Result<StateObject, StateFailure>) -> Unit,
    ) {
        countObjectCall(kind, "replace")
        store.replace(kind, name, expected, value, done)
    }

    override fun replaceStatus(
        order: VersionOrder,
        expected: Long,
        status: MoveStatus,
        done: (Result<StateObject, StateFailure>) -> Unit,
    ) {
        countObjectCall(StateKind.VERSION_ORDERS, "replace_status")
        store.replaceStatus(order, expected, status, done)
    }

    override fun delete(
        kind: StateKind,
        name: String,
        done: (Result<Unit, StateFailure>) -> Unit,
    ) {
        countObjectCall(kind, "delete")
        store.delete(kind, name, done)
    }

    private fun countObjectCall(
        kind: StateKind,
        verb: String,
    ): Unit = counter.onCall(kind, verb, StoreCallCause.ofObjectCall(kind))
}
