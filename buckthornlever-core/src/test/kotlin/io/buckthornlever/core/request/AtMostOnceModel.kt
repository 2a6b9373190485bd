package io.buckthornlever.core.request

import io.buckthornlever.api.process.AccountId
import io.buckthornlever.api.process.ObjectVersion
import io.buckthornlever.api.process.StoreError
import io.buckthornlever.api.request.ErrorCode
import io.buckthornlever.api.request.ExecutionStatus

/**
 * Submissions of one key by several entry instances over a fake store. Immutable, so that every interleaving can be
 * enumerated: [choices] lists what can happen next and [apply] returns the world after it.
 */
internal data class AtMostOnceModel(
    val submissions: List<Submission> = emptyList(),
    val record: AtMostOnceRecord? = null,
    val version: Long = 0,
    val delayed: List<AtMostOnceCommand> = emptyList(),
    val nowMillis: Long = 0,
    val faults: Int = 0,
    val executions: List<String> = emptyList(),
) {
    data class Submission(
        val call: AtMostOnceCall,
        val pending: AtMostOnceCommand?,
        val dispatches: Int = 0,
        val reply: AtMostOnceCommand? = null,
        val alive: Boolean = true,
    )

    sealed interface Choice {
        data class Submit(val body: String) : Choice

        data class Act(val index: Int, val how: How) : Choice

        data class Die(val index: Int) : Choice

        data class Land(val index: Int) : Choice

        data object Pass : Choice
    }

    /** How a store operation or a dispatch ends. */
    enum class How { OK, UNAVAILABLE, LOST_AFTER_EFFECT, LOST_BEFORE_EFFECT, LOST_AND_DELAYED, RAN_AND_LOST, NOT_SENT }

    fun choices(
        maxSubmissions: Int,
        maxFaults: Int,
    ): List<Choice> =
        buildList {
            if (submissions.size < maxSubmissions) listOf("a", "b").forEach { add(Choice.Submit(it)) }
            submissions.forEachIndexed { index, submission ->
                if (submission.alive &&
                    submission.pending != null
                ) {
                    ways(submission.pending, maxFaults).forEach { how -> add(Choice.Act(index, how)) }
                }
                if (submission.alive && faults < maxFaults) add(Choice.Die(index))
            }
            delayed.indices.forEach { add(Choice.Land(it)) }
            if (faults < maxFaults) add(Choice.Pass)
        }

    private fun ways(
        command: AtMostOnceCommand,
        maxFaults: Int,
    ): List<How> =
        when {
            faults >= maxFaults || command is AtMostOnceCommand.StartTimer -> listOf(How.OK)
            command is AtMostOnceCommand.Dispatch -> listOf(How.OK, How.LOST_BEFORE_EFFECT, How.RAN_AND_LOST, How.NOT_SENT)
            command is AtMostOnceCommand.Read -> listOf(How.OK, How.UNAVAILABLE)
            else -> listOf(How.OK, How.UNAVAILABLE, How.LOST_AFTER_EFFECT, How.LOST_BEFORE_EFFECT, How.LOST_AND_DELAYED)
        }

    fun apply(choice: Choice): AtMostOnceModel =
        when (choice) {
            is Choice.Submit -> submit(choice.body)
            is Choice.Act -> act(choice.index, choice.how)
            is Choice.Die -> replace(choice.index, submissions[choice.index].copy(alive = false)).copy(faults = faults + 1)
            is Choice.Land -> effect(delayed[choice.index]).first.copy(delayed = delayed.filterIndexed { i, _ -> i != choice.index })
            is Choice.Pass -> copy(nowMillis = nowMillis + AtMostOnceMachine.MAX_HOLD_MILLIS + 1, faults = faults + 1)
        }

    private fun submit(body: String): AtMostOnceModel {
        val call = AtMostOnceCall(AtMostOnceKey.of(AccountId("acme"), "k"), "t${submissions.size}", body, nowMillis)
        val added = copy(submissions = submissions + Submission(call, null))
        return added.feed(submissions.size, AtMostOnceEvent.Begin)
    }

    private fun act(
        index: Int,
        how: How,
    ): AtMostOnceModel {
        val command = submissions[index].pending!!
        val counted = if (how == How.OK) this else copy(faults = faults + 1)
        return when (how) {
            How.OK -> effect(command, index).let { (world, event) -> world.feed(index, event) }
            How.UNAVAILABLE -> counted.feed(index, AtMostOnceEvent.StoreFailed(StoreError.Unavailable("outage")))
            How.LOST_AFTER_EFFECT -> counted.effect(command).first.feed(index, lost)
            How.LOST_BEFORE_EFFECT -> counted.feed(index, if (command is AtMostOnceCommand.Dispatch) AtMostOnceEvent.Lost("reset") else lost)
            How.LOST_AND_DELAYED -> counted.copy(delayed = delayed + command).feed(index, lost)
            How.RAN_AND_LOST -> counted.effect(command, index).first.feed(index, AtMostOnceEvent.Lost("reset"))
            How.NOT_SENT -> counted.unsent(index).feed(index, AtMostOnceEvent.NotSent)
        }
    }

    private fun unsent(index: Int): AtMostOnceModel = replace(index, submissions[index].copy(dispatches = submissions[index].dispatches - 1))

    private fun effect(
        command: AtMostOnceCommand,
        index: Int = -1,
    ): Pair<AtMostOnceModel, AtMostOnceEvent> =
        when (command) {
            is AtMostOnceCommand.Create -> if (record == null) write(command.record) else this to conflict
            is AtMostOnceCommand.Replace -> if (matches(command.expected)) write(command.record) else this to missingOrConflict()
            is AtMostOnceCommand.Delete -> if (matches(command.expected)) {
                copy(record = null) to AtMostOnceEvent.Deleted
            } else {
                this to
                    missingOrConflict()
            }
            is AtMostOnceCommand.Read -> this to (record?.let { AtMostOnceEvent.Read(it, ObjectVersion(version)) } ?: missing)
            is AtMostOnceCommand.Dispatch -> copy(executions = executions + submissions[index].call.token) to AtMostOnceEvent.Answered(OUTCOME)
            else -> this to AtMostOnceEvent.TimerFired
        }

    private fun matches(expected: ObjectVersion) = record != null && expected.value == version

    private fun write(value: AtMostOnceRecord) = copy(record = value, version = version + 1) to AtMostOnceEvent.Written(ObjectVersion(version + 1))

    private fun missingOrConflict() = if (record == null) missing else conflict

    private fun feed(
        index: Int,
        event: AtMostOnceEvent,
    ): AtMostOnceModel {
        val before = submissions[index]
        val (call, commands) = AtMostOnceMachine.step(before.call, event, nowMillis)
        val reply = commands.firstOrNull { it is AtMostOnceCommand.Reply || it is AtMostOnceCommand.Refuse }
        check(reply == null || before.reply == null) { "second reply" }
        val next = commands.filterNot { it === reply }
        check(next.size <= 1) { "two operations at once" }
        val sent = before.dispatches + next.count { it is AtMostOnceCommand.Dispatch }
        return replace(index, Submission(call, next.firstOrNull(), sent, before.reply ?: reply))
    }

    private fun replace(
        index: Int,
        submission: Submission,
    ): AtMostOnceModel = copy(submissions = submissions.mapIndexed { i, old -> if (i == index) submission else old })

    /** Everything that is wrong with this world. */
    fun violations(): List<String> =
        buildList {
            if (executions.size > 1) add("executed ${executions.size} times")
            submissions.forEach { addAll(violations(it)) }
        }

    private fun violations(submission: Submission): List<String> {
        val refusal = (submission.reply as? AtMostOnceCommand.Refuse)?.error
        val reply = submission.reply as? AtMostOnceCommand.Reply
        val bodyRan = submissions.any { it.call.token in executions && it.call.bodySha256 == submission.call.bodySha256 }
        return listOfNotNull(
            "sent twice".takeIf { submission.dispatches > 1 },
            "false not-run".takeIf { refusal?.executed == ExecutionStatus.NOT_RUN && submission.dispatches > 0 },
            "answer without execution of this body".takeIf { reply != null && !bodyRan },
            "conflict without another body".takeIf { refusal?.code == ErrorCode.KEY_CONFLICT && sameBodyOnly() },
        )
    }

    private fun sameBodyOnly() = submissions.map { it.call.bodySha256 }.distinct().size == 1

    companion object {
        val OUTCOME = AtMostOnceOutcome(200, null, "b2s=")
        private val lost = AtMostOnceEvent.StoreFailed(StoreError.AnswerLost("timeout"))
        private val conflict = AtMostOnceEvent.StoreFailed(StoreError.Conflict(null))
        private val missing = AtMostOnceEvent.StoreFailed(StoreError.NotFound)
    }
}
