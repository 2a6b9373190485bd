package io.buckthornlever.bench.request

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.process.StoreError
import io.buckthornlever.api.request.ExecutionStatus
import io.buckthornlever.core.request.AtMostOnceCall
import io.buckthornlever.core.request.AtMostOnceCommand
import io.buckthornlever.core.request.AtMostOnceEvent
import io.buckthornlever.core.request.AtMostOnceKey
import io.buckthornlever.core.request.AtMostOnceOutcome
import io.buckthornlever.core.request.AtMostOnceRecord
import io.buckthornlever.core.request.StateMachine
import java.util.SplittableRandom

/**
 * Submissions of one key by several entry instances in a seeded interleaving, over a fake store that loses responses and
 * fails, a service that executes without answering, and instances that die.
 */
internal class OnceSimulation(
    private val machine: StateMachine<AtMostOnceCall, AtMostOnceEvent, AtMostOnceCommand>,
    seed: Long,
    private val submissionsPerKey: Int,
) {
    private class Submission(
        var call: AtMostOnceCall,
    ) {
        var pending: AtMostOnceCommand? = null
        var reply: AtMostOnceCommand? = null
        var executions = 0
        var alive = true
    }

    private val random = SplittableRandom(seed)
    private val submissions = mutableListOf<Submission>()
    private var stored: AtMostOnceRecord? = null
    private var version = 0L
    private var now = 0L

    /** Executions of the key at the service. */
    val executions: Int get() = submissions.sumOf { it.executions }

    /** Submissions that were answered "not run" although they ran. */
    val falseNotRun: Int
        get() = submissions.count {
            (it.reply as? AtMostOnceCommand.Refuse)?.error?.executed == ExecutionStatus.NOT_RUN && it.executions > 0
        }

    /** True when a caller got the outcome of the call. */
    val answered: Boolean get() = submissions.any { it.reply is AtMostOnceCommand.Reply }

    fun run() {
        submit()
        repeat(MAX_STEPS) {
            val active = submissions.filter { it.alive && it.pending != null }
            val mayResubmit = submissions.size < submissionsPerKey && submissions.none { it.reply is AtMostOnceCommand.Reply }
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
        val call = AtMostOnceCall(AtMostOnceKey.of(AccountId("account-0"), "key"), "token-${submissions.size}", "body", now)
        val submission = Submission(call)
        submissions += submission
        feed(submission, AtMostOnceEvent.Begin)
    }

    private fun perform(submission: Submission) {
        val command = submission.pending ?: return
        submission.pending = null
        val fault = random.nextInt(FAULT_RANGE)
        val event =
            when {
                command is AtMostOnceCommand.StartTimer -> AtMostOnceEvent.TimerFired
                command is AtMostOnceCommand.Dispatch -> dispatch(submission, fault)
                fault == 0 -> AtMostOnceEvent.StoreFailed(StoreError.Unavailable("outage"))
                fault == 1 -> AtMostOnceEvent.StoreFailed(StoreError.AnswerLost("timeout"))
                fault == 2 -> effect(command).let { AtMostOnceEvent.StoreFailed(StoreError.AnswerLost("timeout")) }
                else -> effect(command)
            }
        feed(submission, event)
    }

    private fun dispatch(
        submission: Submission,
        fault: Int,
    ): AtMostOnceEvent {
        if (fault == 0) return AtMostOnceEvent.NotSent
        submission.executions++
        return if (fault == 1) AtMostOnceEvent.Lost("reset") else AtMostOnceEvent.Answered(AtMostOnceOutcome(200))
    }

    private fun effect(command: AtMostOnceCommand): AtMostOnceEvent {
        val current = stored
        return when (command) {
            is AtMostOnceCommand.Create -> if (current == null) write(command.record) else CONFLICT
            is AtMostOnceCommand.Replace -> if (current != null && command.expected.value == version) write(command.record) else CONFLICT
            is AtMostOnceCommand.Delete -> if (current != null && command.expected.value == version) delete() else CONFLICT
            else -> if (current == null) {
                AtMostOnceEvent.StoreFailed(StoreError.NotFound)
            } else {
                AtMostOnceEvent.Read(current, ObjectVersion(version))
            }
        }
    }

    private fun write(record: AtMostOnceRecord): AtMostOnceEvent {
        stored = record
        version++
        return AtMostOnceEvent.Written(ObjectVersion(version))
    }

    private fun delete(): AtMostOnceEvent {
        stored = null
        return AtMostOnceEvent.Deleted
    }

    private fun feed(
        submission: Submission,
        event: AtMostOnceEvent,
    ) {
        val step = machine.step(submission.call, event, now)
        submission.call = step.state
        step.commands.forEach {
            if (it is AtMostOnceCommand.Reply ||
                it is AtMostOnceCommand.Refuse
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
        val CONFLICT = AtMostOnceEvent.StoreFailed(StoreError.Conflict(null))
    }
}
