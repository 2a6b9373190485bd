package io.buckthornlever.daemon.process.control

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.process.ObjectKey
import io.buckthornlever.api.process.ObjectListing
import io.buckthornlever.api.process.ObjectStore
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.process.StoreError
import io.buckthornlever.core.process.lease.LeaseCommand
import io.buckthornlever.core.process.lease.LeaseEvent
import io.buckthornlever.core.process.lease.LeaseMachine
import io.buckthornlever.core.process.lease.LeasePermit
import io.buckthornlever.core.process.lease.LeaseRecord
import io.buckthornlever.core.process.lease.LeaseState
import io.buckthornlever.core.process.lease.StoredLease
import io.buckthornlever.core.process.membership.Moment
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Runs the state machine of one lease, with store calls on worker threads and state changes on the control thread. */
internal class LeaseDriver(
    private val name: String,
    initial: LeaseState,
    private val machine: LeaseMachine,
    private val store: ObjectStore,
    private val clock: Clock,
    private val listener: ControlListener,
    private val runOnWorker: (() -> Unit) -> Unit,
    private val post: ((Moment) -> Unit) -> Unit,
) {
    private val key = ObjectKey("leases/$name")

    @Volatile
    private var state = initial

    /** True while this instance holds the lease or has a write to it in progress. */
    val isInvolved: Boolean get() = state.held != null || state.pending != null

    /** Returns a permit to issue one order now, or null; may be called on any thread. */
    fun permit(honoursFencing: Boolean): LeasePermit? = machine.permit(state, honoursFencing, Moment.of(clock))

    fun handle(event: LeaseEvent, now: Moment) {
        val transition = machine.step(state, event, now)
        state = transition.state
        transition.commands.forEach { execute(it) }
    }

    private fun execute(command: LeaseCommand) {
        when (command) {
            LeaseCommand.Read -> runOnWorker { report(readEvent(store.list(key.value))) }
            is LeaseCommand.Write -> runOnWorker { report(writeEvent(command)) }
            is LeaseCommand.Gained -> listener.onLeaseGained(name, command.fencing)
            is LeaseCommand.Lost -> listener.onLeaseLost(name, command.reason)
        }
    }

    private fun report(event: LeaseEvent) = post { now -> handle(event, now) }

    private fun readEvent(result: Result<ObjectListing, StoreError>): LeaseEvent =
        result.mapBoth(
            success = { listing ->
                val stored = listing.objects.firstOrNull { it.key == key }
                val record = stored?.value?.let(::decode)
                val unreadable = stored?.value != null && record == null
                if (unreadable) {
                    LeaseEvent.ReadFailed
                } else {
                    LeaseEvent.ReadDone(
                        listing.revision,
                        if (stored == null ||
                            record == null
                        ) {
                            null
                        } else {
                            StoredLease(stored.version, record)
                        },
                    )
                }
            },
            failure = { LeaseEvent.ReadFailed },
        )

    private fun decode(text: String): LeaseRecord? =
        try {
            Json.decodeFromString(LeaseRecord.serializer(), text)
        } catch (e: SerializationException) {
            null
        } catch (e: IllegalArgumentException) {
            null
        }

    private fun writeEvent(command: LeaseCommand.Write): LeaseEvent {
        val text = Json.encodeToString(LeaseRecord.serializer(), command.record)
        val expected = command.expected
        val result: Result<ObjectVersion, StoreError> = if (expected == null) store.create(key, text) else store.update(key, text, expected)
        val token = command.record.token
        return result.mapBoth(
            success = { LeaseEvent.WriteDone(token, it) },
            // The HTTP client may have retried the write, so a conflict can mean that the first try took effect.
            failure = {
                if (it is StoreError.AnswerLost ||
                    it is StoreError.Conflict
                ) {
                    LeaseEvent.WriteUncertain(token)
                } else {
                    LeaseEvent.WriteFailed(token)
                }
            },
        )
    }
}
