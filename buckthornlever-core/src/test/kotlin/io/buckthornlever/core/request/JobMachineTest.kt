package io.buckthornlever.core.request

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.process.StoreError
import io.buckthornlever.api.request.ExecutionStatus
import io.buckthornlever.api.request.RequestId
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

internal class JobMachineTest {
    private val members = List(3) { InstanceId("e$it") }
    private val lost = JobEvent.StoreFailed(StoreError.AnswerLost("timeout"))
    private val down = JobEvent.StoreFailed(StoreError.Unavailable("outage"))

    private fun record(owner: InstanceId) =
        JobRecord(RequestId("j"), AccountId("acme"), "/v1/completions", "{}", 7, owner, 1, 0, JobState.RUNNING)

    private fun step(
        job: JobOwnership,
        event: JobEvent,
        now: Long = 0,
    ) = JobMachine.step(job, event, now)

    private fun accepted(): JobOwnership {
        val begun = step(JobOwnership(members[0], record(members[0])), JobEvent.Begin)
        val running = step(begun.state, JobEvent.Written(ObjectVersion(1)))
        assertIs<JobCommand.Run>(running.commands.single())
        return running.state
    }

    // Guards against a job that is refused although its record exists, or refused as not run although it may be taken over.
    @Test
    fun `acceptance resolves a lost create and refuses truthfully`() {
        val begun = step(JobOwnership(members[0], record(members[0])), JobEvent.Begin)
        val stored = assertIs<JobCommand.Create>(begun.commands.single()).record
        assertEquals(ExecutionStatus.NOT_RUN, assertIs<JobCommand.Refuse>(step(begun.state, down).commands.single()).error.executed)
        val reading = step(begun.state, lost)
        assertEquals(listOf<JobCommand>(JobCommand.Read), reading.commands)
        assertIs<JobCommand.Run>(step(reading.state, JobEvent.Read(stored, ObjectVersion(1))).commands.single())
        var state = reading.state
        var refusal: JobCommand? = null
        while (refusal !is JobCommand.Refuse) {
            val next = step(state, if (refusal is JobCommand.WakeAfter) JobEvent.Woken else down)
            state = next.state
            refusal = next.commands.single()
        }
        assertEquals(ExecutionStatus.UNKNOWN, refusal.error.executed)
    }

    // Guards against a result that is lost because the store was down when the job ended.
    @Test
    fun `a result is stored after an outage of thirty seconds`() {
        var now = 0L
        var step = step(accepted(), JobEvent.Finished(200, "result"))
        while (now < 30_000) {
            step = step(step.state, down, now)
            now += assertIs<JobCommand.WakeAfter>(step.commands.single()).millis
            step = step(step.state, JobEvent.Woken, now)
        }
        assertEquals("result", assertIs<JobCommand.Replace>(step.commands.single()).record.result)
        assertEquals(listOf<JobCommand>(JobCommand.Stored), step(step.state, JobEvent.Written(ObjectVersion(2))).commands)
    }

    // Guards against two instances that both take over, and against an old owner that overwrites the new one's record.
    @Test
    fun `exactly one member takes over after the lease and the old owner abandons`() {
        val job = accepted()
        val stored = job.target
        val live = members.drop(1)
        val late = stored.leaseUntilMillis + JobMachine.CLOCK_ERROR_MILLIS + 1
        assertTrue(live.none { JobMachine.takesOver(stored, it, live, stored.leaseUntilMillis) })
        val next = live.single { JobMachine.takesOver(stored, it, live, late) }
        val claim = step(JobMachine.takeover(stored, ObjectVersion(1), next), JobEvent.Begin, late)
        val taken = assertIs<JobCommand.Replace>(claim.commands.single()).record
        assertEquals(2L, taken.fencing)
        val old = step(step(job, JobEvent.RenewDue, late).state, JobEvent.StoreFailed(StoreError.Conflict(null)), late)
        assertEquals(listOf<JobCommand>(JobCommand.Abandon), step(old.state, JobEvent.Read(taken, ObjectVersion(2)), late).commands)
    }

    // Guards against a job that waits for its lease to end although its owner handed it over.
    @Test
    fun `a handover lets the successor take over at once`() {
        val job = accepted()
        val next = JobMachine.successor(job.target, members[0], members)!!
        val given = step(job, JobEvent.HandOver(next), 1)
        val stored = assertIs<JobCommand.Replace>(given.commands.single()).record
        assertEquals(listOf<JobCommand>(JobCommand.HandedOver(next)), step(given.state, JobEvent.Written(ObjectVersion(2)), 1).commands)
        assertTrue(JobMachine.takesOver(stored, next, members - members[0], 2_000))
    }

    // Guards against a lost job or a replaced result under lost answers, outages, deaths, pauses and takeovers.
    @Property(seed = "5", tries = 3_000)
    fun `every accepted job ends with one result`(
        @ForAll seed: Long,
    ) {
        val world = JobWorld(Random(seed), members, record(members[0]))
        repeat(400) { world.act(faults = it < 250) }
        assertTrue(!world.accepted || world.stored?.state == JobState.DONE, "not finished: ${world.stored}")
        assertEquals(emptyList(), world.violations)
    }
}
