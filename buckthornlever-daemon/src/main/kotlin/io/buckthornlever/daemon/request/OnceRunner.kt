package io.buckthornlever.daemon.request

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.process.ObjectStore
import io.buckthornlever.api.process.StoreError
import io.buckthornlever.api.process.StoredObject
import io.buckthornlever.api.request.ExecutionStatus
import io.buckthornlever.api.request.RequestError
import io.buckthornlever.core.request.AtMostOnceCall
import io.buckthornlever.core.request.AtMostOnceCommand
import io.buckthornlever.core.request.AtMostOnceEvent
import io.buckthornlever.core.request.AtMostOnceKey
import io.buckthornlever.core.request.AtMostOnceMachine
import io.buckthornlever.core.request.AtMostOnceOutcome
import io.buckthornlever.core.request.AtMostOnceRecord
import io.buckthornlever.core.request.AtMostOnceState
import io.buckthornlever.daemon.process.BackgroundTasks
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.util.Base64
import java.util.UUID
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport

/** Carries out [AtMostOnceMachine] for one submission: up to the answer on the request thread, the rest in the background. */
internal class OnceRunner(
    private val store: ObjectStore,
    private val clock: Clock,
    private val background: BackgroundTasks,
) {
    /** Answers the submission; [dispatch] is called at most once and sends the call. */
    fun run(
        scope: RequestScope,
        idempotencyKey: String,
        body: ByteArray,
        dispatch: () -> Result<OnceAnswer, RequestError>,
    ): Result<OnceAnswer, RequestError> {
        val hash = AtMostOnceKey.bodyHash(scope.exchange.method, scope.exchange.pathWithQuery, body)
        val call = AtMostOnceCall(AtMostOnceKey.of(scope.account.id, idempotencyKey), UUID.randomUUID().toString(), hash, nowMillis())
        var sent: OnceAnswer? = null
        var step = AtMostOnceMachine.step(call, AtMostOnceEvent.Begin, nowMillis())
        while (true) {
            val answer = step.commands.firstOrNull { it is AtMostOnceCommand.Reply || it is AtMostOnceCommand.Refuse }
            val next = step.commands.firstOrNull { it !== answer }
            if (answer != null) {
                if (next != null) continueLater(step.state, next)
                return toResult(answer, sent)
            }
            val event =
                when (next) {
                    is AtMostOnceCommand.Dispatch -> {
                        dispatch().mapBoth(
                            success = { AtMostOnceEvent.Answered(outcome(it)).also { _ -> sent = it } },
                            failure = { if (it.executed == ExecutionStatus.NOT_RUN) AtMostOnceEvent.NotSent else AtMostOnceEvent.Lost(it.detail) },
                        )
                    }

                    is AtMostOnceCommand.StartTimer -> {
                        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(next.millis))
                        AtMostOnceEvent.TimerFired
                    }

                    else -> {
                        storeOperation(step.state, checkNotNull(next) { "the call neither ended nor continues" })
                    }
                }
            step = AtMostOnceMachine.step(step.state, event, nowMillis())
        }
    }

    private fun continueLater(
        call: AtMostOnceCall,
        command: AtMostOnceCommand,
    ) {
        val delay = (command as? AtMostOnceCommand.StartTimer)?.millis ?: 0L
        background.schedule(delay) {
            val event = if (command is AtMostOnceCommand.StartTimer) AtMostOnceEvent.TimerFired else storeOperation(call, command)
            val step = AtMostOnceMachine.step(call, event, nowMillis())
            step.commands.firstOrNull()?.let { continueLater(step.state, it) }
        }
    }

    private fun storeOperation(
        call: AtMostOnceCall,
        command: AtMostOnceCommand,
    ): AtMostOnceEvent =
        when (command) {
            is AtMostOnceCommand.Create -> {
                store.create(command.key, encode(command.record)).mapBoth({ AtMostOnceEvent.Written(it) }, ::failed)
            }

            is AtMostOnceCommand.Replace -> {
                store.update(command.key, encode(command.record), command.expected).mapBoth({ AtMostOnceEvent.Written(it) }, ::failed)
            }

            is AtMostOnceCommand.Delete -> {
                store.delete(command.key, command.expected).mapBoth({ AtMostOnceEvent.Deleted }, ::failed)
            }

            else -> {
                store.get(call.key).mapBoth({ AtMostOnceEvent.Read(decode(call, it), it.version) }, ::failed)
            }
        }

    private fun failed(error: StoreError): AtMostOnceEvent = AtMostOnceEvent.StoreFailed(error)

    private fun encode(record: AtMostOnceRecord): String = Json.encodeToString(AtMostOnceRecord.serializer(), record)

    // An unreadable record may belong to a call that ran, so it counts as one with an unknown outcome.
    private fun decode(
        call: AtMostOnceCall,
        stored: StoredObject,
    ): AtMostOnceRecord =
        try {
            JSON.decodeFromString(AtMostOnceRecord.serializer(), stored.value.orEmpty())
        } catch (e: SerializationException) {
            AtMostOnceRecord("", call.bodySha256, nowMillis(), AtMostOnceState.UNKNOWN)
        }

    private fun outcome(answer: OnceAnswer): AtMostOnceOutcome =
        AtMostOnceOutcome(answer.status, answer.contentType, Base64.getEncoder().encodeToString(answer.body))

    private fun toResult(
        answer: AtMostOnceCommand,
        sent: OnceAnswer?,
    ): Result<OnceAnswer, RequestError> =
        when (answer) {
            is AtMostOnceCommand.Refuse -> {
                Err(answer.error)
            }

            is AtMostOnceCommand.Reply -> {
                val outcome = answer.outcome
                val body = Base64.getDecoder().decode(outcome.bodyBase64.orEmpty())
                Ok(sent ?: OnceAnswer(outcome.status, outcome.contentType, emptyList(), body, replayed = true))
            }

            else -> {
                error("not an answer")
            }
        }

    private fun nowMillis(): Long = clock.now().toEpochMilli()

    private companion object {
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
