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

/** Runs [AtMostOnceMachine] for one submission: on the request thread until there is a response, then in the background. */
internal class AtMostOnceRunner(
    private val store: ObjectStore,
    private val clock: Clock,
    private val background: BackgroundTasks,
) {
    /** Returns the response to the submission; [dispatch] sends the call and is called at most once. */
    fun run(
        scope: RequestScope,
        idempotencyKey: String,
        body: ByteArray,
        dispatch: () -> Result<AtMostOnceResponse, RequestError>,
    ): Result<AtMostOnceResponse, RequestError> {
        val hash = AtMostOnceKey.bodyHash(scope.exchange.method, scope.exchange.pathWithQuery, body)
        val call = AtMostOnceCall(AtMostOnceKey.of(scope.account.id, idempotencyKey), UUID.randomUUID().toString(), hash, nowMillis())
        var sent: AtMostOnceResponse? = null
        var step = AtMostOnceMachine.step(call, AtMostOnceEvent.Begin, nowMillis())
        while (true) {
            val reply = step.commands.firstOrNull { it is AtMostOnceCommand.Reply || it is AtMostOnceCommand.Refuse }
            val next = step.commands.firstOrNull { it !== reply }
            if (reply != null) {
                if (next != null) continueInBackground(step.state, next)
                return toResult(reply, sent)
            }
            val event =
                when (next) {
                    is AtMostOnceCommand.Dispatch -> {
                        dispatch().mapBoth(
                            success = { AtMostOnceEvent.Answered(toOutcome(it)).also { _ -> sent = it } },
                            failure = {
                                if (it.executed == ExecutionStatus.NOT_RUN) {
                                    AtMostOnceEvent.NotSent
                                } else {
                                    AtMostOnceEvent.Lost(it.detail)
                                }
                            },
                        )
                    }

                    is AtMostOnceCommand.StartTimer -> {
                        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(next.millis))
                        AtMostOnceEvent.TimerFired
                    }

                    else -> {
                        storeOperation(step.state, checkNotNull(next) { "the call has neither a response nor a next command" })
                    }
                }
            step = AtMostOnceMachine.step(step.state, event, nowMillis())
        }
    }

    private fun continueInBackground(
        call: AtMostOnceCall,
        command: AtMostOnceCommand,
    ) {
        val delay = (command as? AtMostOnceCommand.StartTimer)?.millis ?: 0L
        background.schedule(delay) {
            val event = if (command is AtMostOnceCommand.StartTimer) AtMostOnceEvent.TimerFired else storeOperation(call, command)
            val step = AtMostOnceMachine.step(call, event, nowMillis())
            step.commands.firstOrNull()?.let { continueInBackground(step.state, it) }
        }
    }

    private fun storeOperation(
        call: AtMostOnceCall,
        command: AtMostOnceCommand,
    ): AtMostOnceEvent =
        when (command) {
            is AtMostOnceCommand.Create -> {
                store.create(command.key, encode(command.record)).mapBoth({ AtMostOnceEvent.Written(it) }, ::storeFailed)
            }

            is AtMostOnceCommand.Replace -> {
                store.update(command.key, encode(command.record), command.expected).mapBoth({ AtMostOnceEvent.Written(it) }, ::storeFailed)
            }

            is AtMostOnceCommand.Delete -> {
                store.delete(command.key, command.expected).mapBoth({ AtMostOnceEvent.Deleted }, ::storeFailed)
            }

            else -> {
                store.get(call.key).mapBoth({ AtMostOnceEvent.Read(decode(call, it), it.version) }, ::storeFailed)
            }
        }

    private fun storeFailed(error: StoreError): AtMostOnceEvent = AtMostOnceEvent.StoreFailed(error)

    private fun encode(record: AtMostOnceRecord): String = Json.encodeToString(AtMostOnceRecord.serializer(), record)

    // An unreadable record may belong to a call that ran, so it is treated as a record with an unknown outcome.
    private fun decode(
        call: AtMostOnceCall,
        stored: StoredObject,
    ): AtMostOnceRecord =
        try {
            JSON.decodeFromString(AtMostOnceRecord.serializer(), stored.value.orEmpty())
        } catch (e: SerializationException) {
            AtMostOnceRecord("", call.bodySha256, nowMillis(), AtMostOnceState.UNKNOWN)
        }

    private fun toOutcome(response: AtMostOnceResponse): AtMostOnceOutcome =
        AtMostOnceOutcome(response.status, response.contentType, Base64.getEncoder().encodeToString(response.body))

    private fun toResult(
        reply: AtMostOnceCommand,
        sent: AtMostOnceResponse?,
    ): Result<AtMostOnceResponse, RequestError> =
        when (reply) {
            is AtMostOnceCommand.Refuse -> {
                Err(reply.error)
            }

            is AtMostOnceCommand.Reply -> {
                val outcome = reply.outcome
                val body = Base64.getDecoder().decode(outcome.bodyBase64.orEmpty())
                Ok(sent ?: AtMostOnceResponse(outcome.status, outcome.contentType, emptyList(), body, replayed = true))
            }

            else -> {
                error("the command is neither a reply nor a refusal")
            }
        }

    private fun nowMillis(): Long = clock.now().toEpochMilli()

    private companion object {
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
