package io.buckthornlever.bench.request

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.process.StoreError
import io.buckthornlever.api.request.Executed
import io.buckthornlever.core.request.Machine
import io.buckthornlever.core.request.OnceCall
import io.buckthornlever.core.request.OnceCommand
import io.buckthornlever.core.request.OnceEvent
import io.buckthornlever.core.request.OnceKey
import io.buckthornlever.core.request.OnceOutcome
import io.buckthornlever.core.request.OnceRecord
import java.util.SplittableRandom

/**
 * Submissions of one key by several entry instances in a seeded interleaving, over a fake store that loses responses and
 * fails, a service that executes without answering, and instances that die.
 */
internal class OnceSimulation(
    private val machine: Machine<OnceCall, OnceEvent, OnceCommand>,
    seed: Long,
    private val submissionsPerKey: Int,
) {
    private class Submission(
        var call: OnceCall,
    ) {
        var pending: OnceCommand? = null
        var reply: OnceCommand? = null
        var executions = 0
        var alive = true
    }

    private val random = SplittableRandom(seed)
    private val submissions = mutableListOf<Submission>()
    private var stored: OnceRecord? = null
    private var version = 0L
    private var now = 0L

    /** Executions of the key at the service. */
    val executions: Int get() = submissions.sumOf { it.executions }

    /** Submissions that were answered "not run" although they ran. */
    val falseNotRun: Int
        get() = submissions.count { (it.reply as? OnceCommand.Refuse)?.error?.executed == Executed.NOT_RUN && it.executions > 0 }

    /** True when a caller got the outcome of the call. */
    val answered: Boolean get() = submissions.any { it.reply is OnceCommand.Reply }

    fun run() {
        submit()
        repeat(MAX_STEPS) {
            val active = submissions.filter { it.alive && it.pending != null }
            val mayResubmit = submissions.size < submissionsPerKey && submissions.none { it.reply is OnceCommand.Reply }
            if (active.isEmpty() && !mayResubmit) return
            act(active, mayResubmit)
        }
    }

    private fun act(
        active: List<Submission>,
        mayResubmit: Boolean,
    ) {
        now += random.nextInt(STEP_MILLIS)
        when {
            mayResubmit && (active.isEmpty() || random.nextInt(6) == 0) -> submit()
            random.nextInt(40) == 0 -> active[random.nextInt(active.size)].alive = false
            else -> perform(active[random.nextInt(active.size)])
        }
    }

    private fun submit() {
        val call = OnceCall(OnceKey.of(AccountId("account-0"), "key"), "token-${submissions.size}", "body", now)
        val submission = Submission(call)
        submissions += submission
        feed(submission, OnceEvent.Begin)
    }

    private fun perform(submission: Submission) {
        val command = submission.pending ?: return
        submission.pending = null
        val fault = random.nextInt(FAULT_RANGE)
        val event =
            when {
                command is OnceCommand.WakeAfter -> OnceEvent.Woken
                command is OnceCommand.Dispatch -> dispatch(submission, fault)
                fault == 0 -> OnceEvent.StoreFailed(StoreError.Unavailable("outage"))
                fault == 1 -> OnceEvent.StoreFailed(StoreError.AnswerLost("timeout"))
                fault == 2 -> effect(command).let { OnceEvent.StoreFailed(StoreError.AnswerLost("timeout")) }
                else -> effect(command)
            }
        feed(submission, event)
    }

    private fun dispatch(
        submission: Submission,
        fault: Int,
    ): OnceEvent {
        if (fault == 0) return OnceEvent.NotSent
        submission.executions++
        return if (fault == 1) OnceEvent.Lost("reset") else OnceEvent.Answered(OnceOutcome(200))
    }

    private fun effect(command: OnceCommand): OnceEvent {
        val current = stored
        return when (command) {
            is OnceCommand.Create -> if (current == null) write(command.record) else CONFLICT
            is OnceCommand.Replace -> if (current != null && command.expected.value == version) write(command.record) else CONFLICT
            is OnceCommand.Delete -> if (current != null && command.expected.value == version) delete() else CONFLICT
            else -> if (current == null) OnceEvent.StoreFailed(StoreError.NotFound) else OnceEvent.Read(current, ObjectVersion(version))
        }
    }

    private fun write(record: OnceRecord): OnceEvent {
        stored = record
        version++
        return OnceEvent.Written(ObjectVersion(version))
    }

    private fun delete(): OnceEvent {
        stored = null
        return OnceEvent.Deleted
    }

    private fun feed(
        submission: Submission,
        event: OnceEvent,
    ) {
        val step = machine.step(submission.call, event, now)
        submission.call = step.state
        step.commands.forEach {
            if (it is OnceCommand.Reply ||
                it is OnceCommand.Refuse
            ) {
                submission.reply = it
            } else {
                submission.pending = it
            }
        }
    }

    private companion object {
        const val MAX_STEPS = 1_000
        const val STEP_MILLIS = 20
        const val FAULT_RANGE = 10
        val CONFLICT = OnceEvent.StoreFailed(StoreError.Conflict(null))
    }
}
