package io.buckthornlever.gateway.process

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.serving.CrashSighting
import io.buckthornlever.api.serving.StateFailure
import io.buckthornlever.api.serving.StateKind
import io.buckthornlever.api.serving.StateObject
import io.buckthornlever.api.serving.StateStore
import io.buckthornlever.api.serving.StateValue
import io.buckthornlever.api.serving.SuspectEvidence
import io.buckthornlever.core.serving.PoisonPartTracker
import java.time.Duration

/**
 * Keeps the evidence on prompt parts that crash upstreams in the shared store, where it outlasts the processes. Every instance reads it
 * at its start. The holder of the duty lease, to which the others report their evidence, records it. At most one call is in flight, and
 * every write is conditional on the revision that was read or written last; after a conflict the stored evidence is merged first.
 */
internal class SuspectPartStore(
    private val store: StateStore,
    private val clock: Clock,
    private val tracker: PoisonPartTracker,
    private val log: EventLog,
) {
    private var revision: Long? = null
    private var recorded: Map<Long, Set<CrashSighting>> = emptyMap()
    private var isRead = false
    private var isCalling = false
    private var calledAt = Long.MIN_VALUE / 2
    private var onSettled: () -> Unit = {}

    /** True once the evidence of earlier processes is known, or the store could not be reached for it. */
    var isSettled = false
        private set

    /**
     * Reads what earlier processes have recorded and calls [onSettled] once that has succeeded or failed.
     *
     * @param firstStart true when no process can have recorded anything before this start
     */
    fun start(
        firstStart: Boolean,
        onSettled: () -> Unit,
    ) {
        this.onSettled = onSettled
        if (!firstStart) return read()
        isRead = true
        settle()
    }

    /** The store was restored from a copy: what it holds now is read and what it lacks is recorded again. */
    fun onStoreRestored() {
        isRead = false
        recorded = emptyMap()
    }

    /** Records the evidence of all instances if this one [holdsDutyLease] and the store does not have it yet. */
    fun tick(holdsDutyLease: Boolean) {
        if (isCalling || clock.monotonicNanos() - calledAt < CALL_INTERVAL.toNanos()) return
        if (!isRead) return read()
        if (!holdsDutyLease) return
        val evidence = tracker.evidence(0).filterValues { it.crashes.isNotEmpty() }
        if (crashesOf(evidence) != recorded) write(evidence)
    }

    private fun read() {
        beginCall()
        store.read(StateKind.SUSPECT_PARTS, OBJECT_NAME) { result ->
            isCalling = false
            result.onSuccess(::onRead)
            result.onFailure { if (it == StateFailure.NotFound) onAbsent() else onFailed(it) }
            settle()
        }
    }

    private fun onRead(found: StateObject) {
        isRead = true
        revision = found.revision
        // What this release cannot read is replaced with the next write.
        val evidence = (found.value as? StateValue.SuspectParts)?.evidence.orEmpty()
        recorded = crashesOf(evidence)
        if (evidence.isNotEmpty()) tracker.merge(evidence, clock.now().toEpochMilli())
    }

    private fun onAbsent() {
        isRead = true
        revision = null
        recorded = emptyMap()
    }

    private fun write(evidence: Map<Long, SuspectEvidence>) {
        beginCall()
        val known = revision
        val value = StateValue.SuspectParts(evidence)
        val done = { result: Result<StateObject, StateFailure> -> onWriteEnded(evidence, result) }
        if (known == null) {
            store.create(StateKind.SUSPECT_PARTS, OBJECT_NAME, value, done)
        } else {
            store.replace(StateKind.SUSPECT_PARTS, OBJECT_NAME, known, value, done)
        }
    }

    private fun onWriteEnded(
        written: Map<Long, SuspectEvidence>,
        result: Result<StateObject, StateFailure>,
    ) {
        isCalling = false
        result.onSuccess {
            revision = it.revision
            recorded = crashesOf(written)
        }
        result.onFailure {
            isRead = false
            if (it !is StateFailure.Conflict) onFailed(it)
        }
    }

    private fun beginCall() {
        isCalling = true
        calledAt = clock.monotonicNanos()
    }

    private fun onFailed(failure: StateFailure): Unit =
        log.write(GatewayEvent.SUSPECT_PARTS_NOT_RECORDED, "revision" to revision, "failure" to failure)

    private fun settle() {
        isSettled = true
        onSettled()
        onSettled = {}
    }

    /** What has to be recorded again when it changes; the time of the last output changes with every request. */
    private fun crashesOf(evidence: Map<Long, SuspectEvidence>): Map<Long, Set<CrashSighting>> = evidence.mapValues { it.value.crashes }

    private companion object {
        const val OBJECT_NAME = "site"

        /** Limits the calls while upstreams crash; less evidence is lost than one crash takes to recur at another upstream. */
        val CALL_INTERVAL: Duration = Duration.ofSeconds(1)
    }
}
