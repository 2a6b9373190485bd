package io.buckthornlever.gateway.process

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.serving.InstanceRecord
import io.buckthornlever.api.serving.StateChanges
import io.buckthornlever.api.serving.StateFailure
import io.buckthornlever.api.serving.StateKind
import io.buckthornlever.api.serving.StatePage
import io.buckthornlever.api.serving.StateStore
import io.buckthornlever.api.serving.StoreRevision
import io.buckthornlever.core.serving.RelaySelector
import io.buckthornlever.gateway.connection.ConnectionPool
import io.buckthornlever.gateway.connection.HttpCallClient
import io.buckthornlever.gateway.connection.HttpCallResponse
import io.buckthornlever.gateway.connection.ServerAddress
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpMethod
import java.time.Duration
import java.util.concurrent.ThreadLocalRandom
import java.util.concurrent.TimeUnit

/**
 * The shared store, with listings and watches served by a relay if one is selected. If the relay gives no usable response, one or
 * two other instances are asked before the store, since all followers of a relay notice its failure together and each store call has a
 * cost. While the store fails too, an instance calls it at most once in [MIN_STORE_RETRY]; the relay's responses show when it is back.
 *
 * @param direct the store, for what no relay serves
 * @param fallback the same store, for calls that replace one to a relay
 * @param members other live instances
 */
internal class RelayedStore(
    private val direct: StateStore,
    private val fallback: StateStore,
    self: InstanceRecord,
    private val members: () -> Collection<InstanceRecord>,
    private val loop: EventLoop,
    private val clock: Clock,
    private val log: EventLog,
) : StateStore by direct {
    private val relaySelector = RelaySelector(self)
    private val pool = ConnectionPool(loop, clock, CONNECT_TIMEOUT)
    private val calls = HashMap<ServerAddress, HttpCallClient>()
    private var relayName: String? = null

    /** Kinds that this instance has not watched at the store since it last followed a relay. */
    private val unconfirmedKinds = HashSet<StateKind>()
    private var storeRetryAt = Long.MIN_VALUE
    private var relayedEra = 0L

    override val era: Long get() = maxOf(direct.era, relayedEra)

    override fun list(
        kind: StateKind,
        after: String?,
        stale: Boolean,
        done: (Result<StatePage, StateFailure>) -> Unit,
    ) {
        val relay = if (after == null) currentRelay() else null
        if (relay == null) return direct.list(kind, after, stale, done)
        val path = RelayPaths.of(kind)
        callRelay(relay, path, Duration.ZERO) { answer ->
            if (answer is RelayAnswer.Content) return@callRelay done(Ok(answer.toPage()))
            Fallback(relay, answer, path) {
                done(Ok(it.toPage()))
            }.start { callStore(relay, done) { fallback.list(kind, null, stale, it) } }
        }
    }

    override fun watch(
        kind: StateKind,
        since: Long,
        wait: Duration,
        done: (Result<StateChanges, StateFailure>) -> Unit,
    ) {
        val relay = currentRelay()
        if (relay == null) {
            // What a relay that failed passed on last may be too old for the followers of this instance to wait for another change.
            val maxWait = if (unconfirmedKinds.remove(kind)) FALLBACK_WATCH_WAIT else RelayWaits.relayWait(kind)
            return direct.watch(kind, since, minOf(wait, maxWait), done)
        }
        val maxWait = minOf(wait, RelayWaits.followerWait(kind))
        callRelay(relay, watchPath(kind, since, maxWait), maxWait) { answer ->
            when (answer) {
                is RelayAnswer.Content -> done(Ok(answer.toChanges()))
                RelayAnswer.HistoryGone -> done(Err(StateFailure.HistoryGone))
                // No relay may have seen recent changes, so the store itself is watched from the same revision.
                else ->
                    Fallback(relay, answer, watchPath(kind, since, Duration.ZERO)) { done(Ok(it.toChanges())) }
                        .start { callStore(relay, done) { fallback.watch(kind, since, FALLBACK_WATCH_WAIT, it) } }
            }
        }
    }

    private fun watchPath(
        kind: StateKind,
        since: Long,
        wait: Duration,
    ): String = "${RelayPaths.of(kind)}?${RelayPaths.SINCE}=$since&${RelayPaths.WAIT_MILLIS}=${wait.toMillis()}"

    /**
     * Asks other relays for [path] after [failed] has given [answer], since all followers of a relay notice its failure at about the same
     * time. The second question follows after a random pause, in which the instance that takes the relay's place has asked the store.
     *
     * @param onAnswered receives the content of the first relay that has it
     */
    private inner class Fallback(
        private val failed: InstanceRecord,
        private val answer: RelayAnswer,
        private val path: String,
        private val onAnswered: (RelayAnswer.Content) -> Unit,
    ) {
        /** Asks at most two relays, then calls [askStore]; it is called at once by the instance that takes the place of [failed]. */
        fun start(askStore: () -> Unit) {
            val now = clock.monotonicNanos()
            // A relay that answers without content may itself follow one that this instance avoids, which may answer by now.
            val includeAvoided = answer == RelayAnswer.Unavailable
            val next = relaySelector.choose(members(), now, setOf(failed.name), includeAvoided)
            if (next == null || isStoreUnavailable()) return askStore()
            callRelay(next, path, Duration.ZERO) { nextAnswer ->
                if (nextAnswer is RelayAnswer.Content) return@callRelay succeed(next, nextAnswer)
                val last =
                    when {
                        nextAnswer == RelayAnswer.Unavailable && !relaySelector.isAvoided(next.name, clock.monotonicNanos()) -> next
                        answer == RelayAnswer.Unavailable -> failed
                        else -> relaySelector.choose(members(), clock.monotonicNanos(), setOf(failed.name, next.name))
                    }
                if (last == null) return@callRelay askStore()
                loop.schedule({ askLast(last, askStore) }, pauseMillis(), TimeUnit.MILLISECONDS)
            }
        }

        private fun askLast(
            last: InstanceRecord,
            askStore: () -> Unit,
        ): Unit =
            callRelay(last, path, Duration.ZERO) {
                if (it is RelayAnswer.Content) succeed(last, it) else askStore()
            }

        private fun succeed(
            relay: InstanceRecord,
            content: RelayAnswer.Content,
        ) {
            if (relay.name != failed.name) relaySelector.avoid(failed.name, clock.monotonicNanos())
            relaySelector.restore(relay.name)
            onAnswered(content)
        }
    }

    private fun pauseMillis(): Long = ThreadLocalRandom.current().nextLong(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS + 1)

    private fun isStoreUnavailable(): Boolean = clock.monotonicNanos() < storeRetryAt

    /** Makes [call] to the store after [relay] has failed, unless the store has failed too a short time ago. */
    private fun <T> callStore(
        relay: InstanceRecord,
        done: (Result<T, StateFailure>) -> Unit,
        call: ((Result<T, StateFailure>) -> Unit) -> Unit,
    ) {
        if (isStoreUnavailable()) {
            loop.execute { done(Err(StateFailure.Refused("neither the relay nor the store answers"))) }
            return
        }
        call { result ->
            val now = clock.monotonicNanos()
            result.onSuccess { relaySelector.avoid(relay.name, now) }
            result.onFailure {
                if (it == StateFailure.HistoryGone) {
                    relaySelector.avoid(relay.name, now)
                } else {
                    storeRetryAt = now + ThreadLocalRandom.current().nextLong(MIN_STORE_RETRY.toNanos(), MAX_STORE_RETRY.toNanos())
                }
            }
            done(result)
        }
    }

    private fun currentRelay(): InstanceRecord? {
        val relay = relaySelector.choose(members(), clock.monotonicNanos())
        if (relay?.name != relayName) {
            relayName = relay?.name
            if (relay == null) unconfirmedKinds.addAll(StateKind.entries) else unconfirmedKinds.clear()
            log.write(GatewayEvent.RELAY_CHANGED, "relay" to relayName)
        }
        return relay
    }

    private fun callRelay(
        relay: InstanceRecord,
        path: String,
        wait: Duration,
        done: (RelayAnswer) -> Unit,
    ) {
        val sent = clock.monotonicNanos()
        val address = ServerAddress(relay.host, relay.peerPort)
        calls.getOrPut(address) {
            HttpCallClient(loop, pool, address)
        }.call(HttpMethod.GET, versioned(path), emptyMap(), null, wait + RESPONSE_TIME) { result ->
            result.onSuccess { response ->
                val answer = decodeResponse(response, sent)
                if (answer == RelayAnswer.Unavailable) logRelayFailure(relay, failureOf(response))
                done(answer)
            }
            result.onFailure {
                logRelayFailure(relay, it.reason)
                done(RelayAnswer.Unreachable)
            }
        }
    }

    private fun decodeResponse(
        httpResult: HttpCallResponse,
        sent: Long,
    ): RelayAnswer {
        if (httpResult.status == GONE) return RelayAnswer.HistoryGone
        if (httpResult.status != OK) return RelayAnswer.Unavailable
        val response = CborCodec.decode(RelayResponse.serializer(), httpResult.body).getOrElse { return RelayAnswer.Unavailable }
        // The revisions of a relay that states no version lack the era.
        if (response.version == PeerProtocol.UNSTATED) return RelayAnswer.Unavailable
        relayedEra = maxOf(relayedEra, StoreRevision.eraOf(response.revision))
        return RelayAnswer.Content(response, minOf(sent + response.asOfOffsetNanos, clock.monotonicNanos()))
    }

    private fun versioned(path: String): String =
        path + (if ('?' in path) '&' else '?') + "${RelayPaths.VERSION}=${PeerProtocol.CURRENT}"

    private fun failureOf(response: HttpCallResponse): String =
        if (response.status == OK) "undecodable response, or one without a version" else "status ${response.status}"

    private fun logRelayFailure(
        relay: InstanceRecord,
        reason: String,
    ) {
        log.write(GatewayEvent.RELAY_FAILED, "relay" to relay.name, "reason" to reason)
    }

    private sealed interface RelayAnswer {
        class Content(
            private val response: RelayResponse,
            private val asOfNanos: Long,
        ) : RelayAnswer {
            fun toPage() = StatePage(response.changes.map { it.changed }, false, response.revision, asOfNanos)

            fun toChanges() = StateChanges(response.changes, response.revision, asOfNanos)
        }

        data object HistoryGone : RelayAnswer

        /** The relay answers, but has no content that is recent enough. */
        data object Unavailable : RelayAnswer

        data object Unreachable : RelayAnswer
    }

    private companion object {
        const val OK = 200
        const val GONE = 410

        /** Time allowed for a relay's response on top of the requested wait; much more than a round trip between failure domains. */
        val RESPONSE_TIME: Duration = Duration.ofMillis(400)

        /** Too short for a TCP handshake packet to be retransmitted: a lost one counts as a failed connection. */
        val CONNECT_TIMEOUT: Duration = Duration.ofMillis(300)

        /** Time for the instance that takes the place of a failed relay to ask the store. */
        const val MIN_PAUSE_MILLIS = 100L

        /** Short enough for the serving table to stay recent while a relay that hangs is replaced. */
        const val MAX_PAUSE_MILLIS = 300L

        /** Interval between fallback calls to a store that fails; it is drawn, so that the instances do not all call when it is back. */
        val MIN_STORE_RETRY: Duration = Duration.ofSeconds(1)
        val MAX_STORE_RETRY: Duration = Duration.ofMillis(1_800)

        /** Wait of the store watch that replaces a failed relay; short because only changes that have already happened matter. */
        val FALLBACK_WATCH_WAIT: Duration = Duration.ofMillis(20)
    }
}
