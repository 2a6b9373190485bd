package io.buckthornlever.daemon.request

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.process.ObjectStore
import io.buckthornlever.api.process.StoreError
import io.buckthornlever.api.process.StoredObject
import io.buckthornlever.api.request.Executed
import io.buckthornlever.api.request.RequestError
import io.buckthornlever.core.request.OnceCall
import io.buckthornlever.core.request.OnceCommand
import io.buckthornlever.core.request.OnceEvent
import io.buckthornlever.core.request.OnceKey
import io.buckthornlever.core.request.OnceMachine
import io.buckthornlever.core.request.OnceOutcome
import io.buckthornlever.core.request.OnceRecord
import io.buckthornlever.core.request.OnceState
import io.buckthornlever.daemon.process.BackgroundTasks
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.util.Base64
import java.util.UUID
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport

/** Runs [OnceMachine] for one submission: on the request thread until there is a response, then in the background. */
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
        val hash = OnceKey.bodyHash(scope.exchange.method, scope.exchange.pathWithQuery, body)
        val call = OnceCall(OnceKey.of(scope.account.id, idempotencyKey), UUID.randomUUID().toString(), hash, nowMillis())
        var sent: AtMostOnceResponse? = null
        var step = OnceMachine.step(call, OnceEvent.Begin, nowMillis())
        while (true) {
            val reply = step.commands.firstOrNull { it is OnceCommand.Reply || it is OnceCommand.Refuse }
            val next = step.commands.firstOrNull { it !== reply }
            if (reply != null) {
                if (next != null) continueInBackground(step.state, next)
                return toResult(reply, sent)
            }
            val event =
                when (next) {
                    is OnceCommand.Dispatch -> {
                        dispatch().mapBoth(
                            success = { OnceEvent.Answered(toOutcome(it)).also { _ -> sent = it } },
                            failure = { if (it.executed == Executed.NOT_RUN) OnceEvent.NotSent else OnceEvent.Lost(it.detail) },
                        )
                    }

                    is OnceCommand.WakeAfter -> {
                        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(next.millis))
                        OnceEvent.Woken
                    }

                    else -> {
                        storeOperation(step.state, checkNotNull(next) { "the call has neither a response nor a next command" })
                    }
                }
            step = OnceMachine.step(step.state, event, nowMillis())
        }
    }

    private fun continueInBackground(
        call: OnceCall,
        command: OnceCommand,
    ) {
        val delay = (command as? OnceCommand.WakeAfter)?.millis ?: 0L
        background.schedule(delay) {
            val event = if (command is OnceCommand.WakeAfter) OnceEvent.Woken else storeOperation(call, command)
            val step = OnceMachine.step(call, event, nowMillis())
            step.commands.firstOrNull()?.let { continueInBackground(step.state, it) }
        }
    }

    private fun storeOperation(
        call: OnceCall,
        command: OnceCommand,
    ): OnceEvent =
        when (command) {
            is OnceCommand.Create -> {
                store.create(command.key, encode(command.record)).mapBoth({ OnceEvent.Written(it) }, ::storeFailed)
            }

            is OnceCommand.Replace -> {
                store.update(command.key, encode(command.record), command.expected).mapBoth({ OnceEvent.Written(it) }, ::storeFailed)
            }

            is OnceCommand.Delete -> {
                store.delete(command.key, command.expected).mapBoth({ OnceEvent.Deleted }, ::storeFailed)
            }

            else -> {
                store.get(call.key).mapBoth({ OnceEvent.Read(decode(call, it), it.version) }, ::storeFailed)
            }
        }

    private fun storeFailed(error: StoreError): OnceEvent = OnceEvent.StoreFailed(error)

    private fun encode(record: OnceRecord): String = Json.encodeToString(OnceRecord.serializer(), record)

    // An unreadable record may belong to a call that ran, so it is treated as a record with an unknown outcome.
    private fun decode(
        call: OnceCall,
        stored: StoredObject,
    ): OnceRecord =
        try {
            JSON.decodeFromString(OnceRecord.serializer(), stored.value.orEmpty())
        } catch (e: SerializationException) {
            OnceRecord("", call.bodySha256, nowMillis(), OnceState.UNKNOWN)
        }

    private fun toOutcome(response: AtMostOnceResponse): OnceOutcome =
        OnceOutcome(response.status, response.contentType, Base64.getEncoder().encodeToString(response.body))

    private fun toResult(
        reply: OnceCommand,
        sent: AtMostOnceResponse?,
    ): Result<AtMostOnceResponse, RequestError> =
        when (reply) {
            is OnceCommand.Refuse -> {
                Err(reply.error)
            }

            is OnceCommand.Reply -> {
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
