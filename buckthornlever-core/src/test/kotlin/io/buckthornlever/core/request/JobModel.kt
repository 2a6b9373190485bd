package io.buckthornlever.core.request

import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.process.StoreError
import kotlin.random.Random

/** Random simulation of one job, its record in a fake store and the instances that may own it. */
internal class JobModel(
    private val random: Random,
    private val members: List<InstanceId>,
    first: JobRecord,
) {
    private class Owner(
        var job: JobOwnership,
    ) {
        var pending: JobCommand? = null
        var running = false
        var refused = false
    }

    private val owners = linkedMapOf<InstanceId, Owner>()
    private val live = members.toMutableSet()
    private var version = 0L
    private var now = 0L
    var stored: JobRecord? = null
    val violations = mutableListOf<String>()
    var accepted = false

    init {
        claim(members[0], JobOwnership(members[0], first))
    }

    fun act(faults: Boolean) {
        now += random.nextLong(800)
        val (self, owner) = owners.entries.random(random)
        when (random.nextInt(8)) {
            0 -> if (owner.running) feed(owner, JobEvent.Finished(200, "result"))
            1 -> feed(owner, JobEvent.RenewalDue)
            2 -> if (faults && live.size > 1 && random.nextInt(5) == 0) crash(self)
            3 -> if (faults && live.size > 1) feed(owner, JobEvent.HandOver((live - self).random(random)))
            4 -> takeOver()
            else -> store(owner, faults)
        }
    }

    private fun crash(self: InstanceId) {
        live -= self
        if (owners.size > 1) owners -= self else owners[self]?.let { it.pending = null }
        if (owners.keys.singleOrNull() == self) owners[self] = Owner(owners.getValue(self).job.copy(phase = JobPhase.ENDED))
    }

    private fun takeOver() {
        val record = stored ?: return
        val self = live.firstOrNull { JobMachine.shouldTakeOver(record, it, live, now) } ?: return
        val current = owners[self]
        if (current == null || current.job.phase == JobPhase.ENDED) claim(self, JobMachine.takeOver(record, ObjectVersion(version), self))
    }

    private fun claim(
        self: InstanceId,
        job: JobOwnership,
    ) {
        val owner = Owner(job)
        owners[self] = owner
        feed(owner, JobEvent.Begin)
    }

    private fun store(
        owner: Owner,
        faults: Boolean,
    ) {
        val command = owner.pending ?: return
        val fault = if (faults) random.nextInt(6) else -1
        owner.pending = null
        val event =
            when {
                command is JobCommand.StartTimer -> JobEvent.TimerFired
                fault == 0 -> JobEvent.StoreFailed(StoreError.Unavailable("outage"))
                fault == 1 -> effect(command).let { JobEvent.StoreFailed(StoreError.AnswerLost("timeout")) }
                fault == 2 -> JobEvent.StoreFailed(StoreError.AnswerLost("timeout"))
                else -> effect(command)
            }
        feed(owner, event)
    }

    private fun effect(command: JobCommand): JobEvent {
        val current = stored
        return when (command) {
            is JobCommand.Create -> if (current == null) write(command.record) else JobEvent.StoreFailed(StoreError.Conflict(null))

            is JobCommand.Replace -> replace(command)

            else -> if (current == null) JobEvent.StoreFailed(StoreError.NotFound) else JobEvent.Read(current, ObjectVersion(version))
        }
    }

    private fun replace(command: JobCommand.Replace): JobEvent =
        if (command.expected.value == version) write(command.record) else JobEvent.StoreFailed(StoreError.Conflict(null))

    private fun write(record: JobRecord): JobEvent {
        if (stored?.state == JobState.DONE) violations += "a finished job was overwritten"
        if (record.fencing < (stored?.fencing ?: 0)) violations += "the fencing token decreased"
        stored = record
        version++
        return JobEvent.Written(ObjectVersion(version))
    }

    private fun feed(
        owner: Owner,
        event: JobEvent,
    ) {
        val step = JobMachine.step(owner.job, event, now)
        owner.job = step.state
        for (command in step.commands) {
            when (command) {
                is JobCommand.Run -> owner.running = true.also { accepted = true }
                is JobCommand.Abandon, is JobCommand.ResultStored, is JobCommand.HandedOver -> owner.running = false
                is JobCommand.Refuse -> owner.refused = true
                else -> owner.pending = command.also { if (owner.pending != null) violations += "two operations at once" }
            }
        }
    }
}
