package io.buckthornlever.core.process.lease

import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.core.process.lease.LeaseState.Held
import io.buckthornlever.core.process.lease.LeaseState.Observed
import io.buckthornlever.core.process.lease.LeaseState.PendingWrite
import io.buckthornlever.core.process.membership.Moment

/**
 * State machine of one lease, for its holder and for the candidates. It relies on monotonic clocks only: the holder counts the
 * lifetime of the lease from before it sends its write, a candidate from when it first reads the record or to when the holder's
 * own announcement says that it ends, and both keep [LeaseSettings.clockErrorBound] as a margin.
 */
public class LeaseMachine(
    private val settings: LeaseSettings,
) {
    private val ttl = settings.ttl.toNanos()
    private val clockErrorBound = settings.clockErrorBound.toNanos()

    /**
     * Returns the permission to send an order at [now], or null if this instance must not send one. Call it immediately before each
     * order.
     *
     * @param honoursFencing false for an engine that ignores fencing tokens: a new holder waits until its predecessor's orders end
     */
    public fun permit(state: LeaseState, honoursFencing: Boolean, now: Moment): LeasePermit? {
        val held = state.held ?: return null
        val notAfter = held.expiresAt - clockErrorBound
        if (now.nanos >= notAfter) return null
        if (!honoursFencing && now.nanos < held.unfencedOrdersFrom) return null
        return LeasePermit(held.fencing, notAfter)
    }

    /** Processes [event] at [now]. */
    public fun step(state: LeaseState, event: LeaseEvent, now: Moment): LeaseTransition =
        when (event) {
            LeaseEvent.Tick -> onTick(state, now)
            is LeaseEvent.ReadDone -> onReadDone(state.copy(readDeadline = null), event, now)
            LeaseEvent.ReadFailed -> LeaseTransition(
                state.copy(readDeadline = null, nextRead = now.nanos + settings.readInterval.toNanos()),
            )
            is LeaseEvent.WriteDone -> if (state.pending?.record?.token == event.token) confirm(state, event.version, now) else stay(state)
            is LeaseEvent.WriteFailed -> onWriteFailed(state, event.token, now)
            is LeaseEvent.WriteUncertain -> if (state.pending?.record?.token == event.token) readBack(state, now) else stay(state)
            is LeaseEvent.HolderAnnounced -> stay(state.copy(announced = event))
            LeaseEvent.ResignRequested -> resign(state, now)
        }

    private fun stay(state: LeaseState): LeaseTransition = LeaseTransition(state)

    private fun onTick(state: LeaseState, now: Moment): LeaseTransition {
        val held = state.held
        if (held != null && now.nanos >= held.expiresAt) {
            val rest = onTick(state.copy(held = null), now)
            return rest.copy(commands = listOf(LeaseCommand.Lost(LeaseLossReason.EXPIRED)) + rest.commands)
        }
        val pending = state.pending
        val reading = state.readDeadline?.let { now.nanos < it } ?: false
        return when {
            pending != null && now.nanos - pending.sentAt >= settings.callTimeout.toNanos() -> if (reading) {
                stay(
                    state,
                )
            } else {
                readBack(state, now)
            }
            pending != null || reading -> stay(state)
            held != null -> if (now.nanos >= held.renewAt) write(state, held.fencing, held.version, now) else stay(state)
            now.nanos >= (state.nextRead ?: now.nanos) -> read(state, now)
            else -> stay(state)
        }
    }

    private fun read(state: LeaseState, now: Moment): LeaseTransition {
        val deadline = now.nanos + settings.callTimeout.toNanos()
        return LeaseTransition(state.copy(readDeadline = deadline), listOf(LeaseCommand.Read))
    }

    private fun readBack(state: LeaseState, now: Moment): LeaseTransition =
        read(state.copy(pending = state.pending?.copy(uncertain = true)), now)

    private fun write(state: LeaseState, fencing: Long, expected: ObjectVersion?, now: Moment): LeaseTransition {
        val token = "${state.self}/${state.incarnation}/${state.writes}"
        val record = LeaseRecord(state.self, fencing, token, settings.ttl.toMillis())
        val next = state.copy(writes = state.writes + 1, pending = PendingWrite(record, expected, now.nanos))
        return LeaseTransition(next, listOf(LeaseCommand.Write(record, expected)))
    }

    private fun onReadDone(state: LeaseState, event: LeaseEvent.ReadDone, now: Moment): LeaseTransition {
        val next = observe(state, event.stored, now).copy(nextRead = now.nanos + settings.readInterval.toNanos())
        val pending = next.pending ?: return tryAcquire(next, event, now)
        if (!pending.uncertain) return stay(next)
        return when {
            event.stored?.record?.token == pending.record.token -> confirm(next, event.stored.version, now)
            event.stored?.version == pending.expected -> resend(next, pending)
            else -> onSuperseded(next)
        }
    }

    private fun observe(state: LeaseState, stored: StoredLease?, now: Moment): LeaseState {
        if (stored == null) return state.copy(observed = null)
        if (state.observed?.lease?.version == stored.version) return state
        return state.copy(observed = Observed(stored, now.nanos))
    }

    private fun tryAcquire(state: LeaseState, event: LeaseEvent.ReadDone, now: Moment): LeaseTransition {
        val held = state.held
        if (held != null) return if (event.stored?.version == held.version) stay(state) else onSuperseded(state)
        // The store's revision keeps the fencing token increasing even when the record was deleted.
        val observed = state.observed ?: return write(state, event.revision.value + 1, null, now)
        val lease = observed.lease
        val wait = lease.record.ttlMillis * NANOS_PER_MILLI + clockErrorBound
        val available = lease.record.holder == null || now.nanos - observed.since >= wait || hasExpired(state, lease, now)
        if (!available) return stay(state)
        return write(state, maxOf(lease.record.fencing, lease.version.value) + 1, lease.version, now)
    }

    /**
     * True if the holder itself has told when its lease ends and has not renewed it since. That is known before the record has been
     * seen unchanged for a whole lifetime of the lease.
     */
    private fun hasExpired(state: LeaseState, lease: StoredLease, now: Moment): Boolean {
        val announced = state.announced ?: return false
        return announced.version == lease.version && now.nanos >= announced.expiresAt + clockErrorBound
    }

    /**
     * Sends the pending write again. The condition on the version makes a repeated write with the same token harmless; the lifetime
     * of the lease still counts from the first attempt.
     */
    private fun resend(state: LeaseState, pending: PendingWrite): LeaseTransition =
        LeaseTransition(state, listOf(LeaseCommand.Write(pending.record, pending.expected)))

    private fun onSuperseded(state: LeaseState): LeaseTransition {
        val lost = if (state.held != null) listOf(LeaseCommand.Lost(LeaseLossReason.SUPERSEDED)) else emptyList()
        return LeaseTransition(state.copy(held = null, pending = null), lost)
    }

    private fun confirm(state: LeaseState, version: ObjectVersion, now: Moment): LeaseTransition {
        val pending = state.pending ?: return stay(state)
        val settled = state.copy(pending = null)
        if (pending.record.holder == null) return stay(settled)
        val before = state.held
        val expiresAt = pending.sentAt + ttl
        val renewAt = pending.sentAt + settings.renewInterval.toNanos()
        if (before != null) return stay(settled.copy(held = before.copy(version = version, expiresAt = expiresAt, renewAt = renewAt)))
        val held = Held(version, pending.record.fencing, expiresAt, renewAt, now.nanos + settings.maxOrderDuration.toNanos())
        return LeaseTransition(settled.copy(held = held), listOf(LeaseCommand.Gained(held.fencing)))
    }

    private fun onWriteFailed(state: LeaseState, token: String, now: Moment): LeaseTransition {
        val pending = state.pending
        if (pending == null || pending.record.token != token) return stay(state)
        // The failure of a later attempt does not prove that an uncertain earlier attempt had no effect.
        if (pending.uncertain) return readBack(state, now)
        val retryAt = now.nanos + settings.readInterval.toNanos()
        return stay(state.copy(pending = null, nextRead = retryAt, held = state.held?.copy(renewAt = retryAt)))
    }

    private fun resign(state: LeaseState, now: Moment): LeaseTransition {
        val held = state.held ?: return stay(state)
        val lost = LeaseCommand.Lost(LeaseLossReason.RESIGNED)
        if (state.pending != null) return LeaseTransition(state.copy(held = null), listOf(lost))
        val released = write(state, held.fencing, held.version, now)
        val record = released.state.pending?.record?.copy(holder = null) ?: return stay(state)
        val next = released.state.copy(held = null, pending = released.state.pending.copy(record = record))
        return LeaseTransition(next, listOf(lost, LeaseCommand.Write(record, held.version)))
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
