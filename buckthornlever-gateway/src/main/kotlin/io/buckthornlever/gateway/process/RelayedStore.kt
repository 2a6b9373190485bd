package io.buckthornlever.gateway.process

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.serving.InstanceRecord
import io.buckthornlever.api.serving.StateChanges
import io.buckthornlever.api.serving.StateFailure
import io.buckthornlever.api.serving.StateKind
import io.buckthornlever.api.serving.StatePage
import io.buckthornlever.api.serving.StateStore
import io.buckthornlever.core.serving.RelaySelector
import io.buckthornlever.gateway.connection.ConnectionPool
import io.buckthornlever.gateway.connection.HttpCallResponse
import io.buckthornlever.gateway.connection.HttpCallClient
import io.buckthornlever.gateway.connection.ServerAddress
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpMethod
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import java.time.Duration

/**
 * The shared store, with watches and listings taken from a relay where there is one. When the relay gives no usable answer, the
 * same call goes to the store at once; while the store does not answer either, that happens at intervals, since each call has a
 * price and the relay tells when the store is back.
 *
 * @param members other instances that exist
 */
@OptIn(ExperimentalSerializationApi::class)
internal class RelayedStore(
    private val direct: StateStore,
    self: InstanceRecord,
    private val members: () -> Collection<InstanceRecord>,
    private val loop: EventLoop,
    private val clock: Clock,
    private val log: EventLog,
) : StateStore by direct {
    private val choice = RelaySelector(self)
    private val pool = ConnectionPool(loop, clock, CONNECT_TIMEOUT)
    private val calls = HashMap<ServerAddress, HttpCallClient>()
    private var following: String? = null
    private var storeFailedAt = Long.MIN_VALUE / 2

    override fun list(
        kind: StateKind,
        after: String?,
        stale: Boolean,
        done: (Result<StatePage, StateFailure>) -> Unit,
    ) {
        val relay = if (after == null) relay() else null
        if (relay == null) return direct.list(kind, after, stale, done)
        ask(relay, RelayPaths.of(kind), Duration.ZERO) { answer, _ ->
            if (answer == null) return@ask instead(relay, done) { direct.list(kind, null, stale, it) }
            done(Ok(StatePage(answer.changes.map { it.changed }, false, answer.revision, answer.asOfNanos)))
        }
    }

    override fun watch(
        kind: StateKind,
        since: Long,
        wait: Duration,
        done: (Result<StateChanges, StateFailure>) -> Unit,
    ) {
        val relay = relay() ?: return direct.watch(kind, since, minOf(wait, RelayWaits.relay(kind)), done)
        val longest = minOf(wait, RelayWaits.follower(kind))
        val path = "${RelayPaths.of(kind)}?${RelayPaths.SINCE}=$since&${RelayPaths.WAIT_MILLIS}=${longest.toMillis()}"
        ask(relay, path, longest) { answer, forgotten ->
            when {
                answer != null -> done(Ok(StateChanges(answer.changes, answer.revision, answer.asOfNanos)))
                forgotten -> done(Err(StateFailure.HistoryGone))
                else -> watchOther(relay, kind, since, done)
            }
        }
    }

    /** Asks the relay that comes after [failed], and the store when that one has no answer either. */
    private fun watchOther(
        failed: InstanceRecord,
        kind: StateKind,
        since: Long,
        done: (Result<StateChanges, StateFailure>) -> Unit,
    ) {
        val other = choice.choose(members(), clock.monotonicNanos(), excluded = failed.name)
        // The store has not answered yet, so its own watch tells what the relays may have missed.
        val askStore = { instead(failed, done) { direct.watch(kind, since, AFTER_FAILURE_WAIT, it) } }
        if (other == null || isStoreAway()) return askStore()
        val path = "${RelayPaths.of(kind)}?${RelayPaths.SINCE}=$since&${RelayPaths.WAIT_MILLIS}=0"
        ask(other, path, Duration.ZERO) { answer, _ ->
            if (answer == null) return@ask askStore()
            choice.avoid(failed.name, clock.monotonicNanos())
            done(Ok(StateChanges(answer.changes, answer.revision, answer.asOfNanos)))
        }
    }

    private fun isStoreAway(): Boolean = clock.monotonicNanos() - storeFailedAt < STORE_RETRY.toNanos()

    /** Makes [call] to the store in place of one to [relay]. */
    private fun <T> instead(
        relay: InstanceRecord,
        done: (Result<T, StateFailure>) -> Unit,
        call: ((Result<T, StateFailure>) -> Unit) -> Unit,
    ) {
        if (isStoreAway()) {
            loop.execute { done(Err(StateFailure.Refused("neither the relay nor the store answers"))) }
            return
        }
        call { result ->
            val now = clock.monotonicNanos()
            result.onSuccess { choice.avoid(relay.name, now) }
            result.onFailure { if (it == StateFailure.HistoryGone) choice.avoid(relay.name, now) else storeFailedAt = now }
            done(result)
        }
    }

    private fun relay(): InstanceRecord? {
        val relay = choice.choose(members(), clock.monotonicNanos())
        if (relay?.name != following) {
            following = relay?.name
            log.write(GatewayEvent.RELAY_CHANGED, "relay" to following)
        }
        return relay
    }

    private fun ask(
        relay: InstanceRecord,
        path: String,
        wait: Duration,
        done: (Told?, forgotten: Boolean) -> Unit,
    ) {
        val sent = clock.monotonicNanos()
        val address = ServerAddress(relay.host, relay.peerPort)
        calls.getOrPut(address) {
            HttpCallClient(loop, pool, address)
        }.call(HttpMethod.GET, path, emptyMap(), null, wait + ANSWER_TIME) { result ->
            result.onSuccess { answer ->
                val told = told(answer, sent)
                if (told == null && answer.status != GONE) failed(relay, "status ${answer.status}")
                done(told, answer.status == GONE)
            }
            result.onFailure {
                failed(relay, it.reason)
                done(null, false)
            }
        }
    }

    private fun told(
        result: HttpCallResponse,
        sent: Long,
    ): Told? {
        if (result.status != OK) return null
        return try {
            val answer = Cbor.decodeFromByteArray(RelayAnswer.serializer(), result.body)
            Told(answer, minOf(sent + answer.asOfOffsetNanos, clock.monotonicNanos()))
        } catch (_: SerializationException) {
            // An instance of another release; the caller logs it as a failure and asks the store.
            null
        }
    }

    private fun failed(
        relay: InstanceRecord,
        reason: String,
    ) {
        log.write(GatewayEvent.RELAY_FAILED, "relay" to relay.name, "reason" to reason)
    }

    private class Told(
        answer: RelayAnswer,
        val asOfNanos: Long,
    ) {
        val changes = answer.changes
        val revision = answer.revision
    }

    private companion object {
        const val OK = 200
        const val GONE = 410

        /** Time beyond its wait in which a relay answers; much more than a round trip between failure domains. */
        val ANSWER_TIME: Duration = Duration.ofMillis(400)

        /** A lost opening packet counts as no connection. */
        val CONNECT_TIMEOUT: Duration = Duration.ofMillis(300)

        /** Interval between calls to a store that fails while a relay is asked as well. */
        val STORE_RETRY: Duration = Duration.ofSeconds(1)

        /** Wait of the watch that follows a failed relay: only what has already happened matters. */
        val AFTER_FAILURE_WAIT: Duration = Duration.ofMillis(300)
    }
}
