package io.buckthornlever.gateway.process

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.buckthornlever.api.serving.StateChanges
import io.buckthornlever.api.serving.StateFailure
import io.buckthornlever.api.serving.StateKind
import io.buckthornlever.api.serving.StateObject
import io.buckthornlever.api.serving.StatePage
import io.buckthornlever.api.serving.StateStore
import io.buckthornlever.api.serving.StateValue
import io.buckthornlever.api.serving.StoreRevision
import io.buckthornlever.api.serving.VersionOrder
import io.buckthornlever.api.version.MoveStatus
import java.time.Duration

/** Store in memory whose calls end at once; the answers of writes can be lost and calls refused. */
internal class InMemoryStore : StateStore {
    private val objects = HashMap<Pair<StateKind, String>, StateObject>()
    private var revision = 0L
    private var copy = emptyMap<Pair<StateKind, String>, StateObject>()
    private var copiedRevision = 0L
    var reads = 0
    var windowReads = 0

    override var era: Long = 0
        private set

    /** Refuses every call. */
    var isRefusing = false

    /** Carries out writes without answering them. */
    var losesAnswers = false

    /** Copies the content, which [restore] brings back. */
    fun backUp() {
        copy = objects.toMap()
        copiedRevision = revision
    }

    /** Replaces the content with the copy, in a new era with the revisions of the copy. */
    fun restore() {
        era++
        revision = copiedRevision
        objects.clear()
        copy.mapValuesTo(objects) { (_, item) -> item.copy(revision = StoreRevision.of(era, StoreRevision.numberOf(item.revision))) }
    }

    /** Content of the object [name], null if there is none. */
    fun valueOf(
        kind: StateKind,
        name: String,
    ): StateValue? = objects[kind to name]?.value

    /** Revision of the object [name]; 0 if there is none. */
    fun revisionOf(
        kind: StateKind,
        name: String,
    ): Long = objects[kind to name]?.revision ?: 0

    override fun list(
        kind: StateKind,
        after: String?,
        stale: Boolean,
        done: (Result<StatePage, StateFailure>) -> Unit,
    ) = error("not used")

    override fun watch(
        kind: StateKind,
        since: Long,
        wait: Duration,
        done: (Result<StateChanges, StateFailure>) -> Unit,
    ) = error("not used")

    override fun read(
        kind: StateKind,
        name: String,
        done: (Result<StateObject, StateFailure>) -> Unit,
    ) {
        if (kind == StateKind.LEASES) reads++
        if (kind == StateKind.USAGE_WINDOWS) windowReads++
        if (isRefusing) return done(REFUSED)
        done(objects[kind to name]?.let { Ok(it) } ?: Err(StateFailure.NotFound))
    }

    override fun create(
        kind: StateKind,
        name: String,
        value: StateValue,
        done: (Result<StateObject, StateFailure>) -> Unit,
    ) = write(kind to name in objects, kind, name, value, done)

    override fun replace(
        kind: StateKind,
        name: String,
        expected: Long?,
        value: StateValue,
        done: (Result<StateObject, StateFailure>) -> Unit,
    ) = write(objects[kind to name]?.revision != expected, kind, name, value, done)

    override fun replaceStatus(
        order: VersionOrder,
        expected: Long,
        status: MoveStatus,
        done: (Result<StateObject, StateFailure>) -> Unit,
    ) = error("not used")

    override fun delete(
        kind: StateKind,
        name: String,
        done: (Result<Unit, StateFailure>) -> Unit,
    ) = error("not used")

    private fun write(
        isConflict: Boolean,
        kind: StateKind,
        name: String,
        value: StateValue,
        done: (Result<StateObject, StateFailure>) -> Unit,
    ) {
        if (isRefusing) return done(REFUSED)
        if (isConflict) return done(Err(StateFailure.Conflict(null)))
        val written = put(kind, name, value)
        done(if (losesAnswers) Err(StateFailure.Unknown("no answer")) else Ok(written))
    }

    private fun put(
        kind: StateKind,
        name: String,
        value: StateValue,
    ): StateObject = StateObject(name, StoreRevision.of(era, ++revision), value).also { objects[kind to name] = it }

    private companion object {
        val REFUSED = Err(StateFailure.Refused("HTTP status 503"))
    }
}
