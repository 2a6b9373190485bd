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

/**
 * The shared store, with listings and watches served by a relay if one is selected. If the relay gives no usable response, the call
 * goes to the store at once. While the store fails too, this fallback is limited to [STORE_RETRY_INTERVAL], since each store call has
 * a cost and the relay's responses show when the store is back.
 *
 * @param members other live instances
 */
internal class RelayedStore(
    private val direct: StateStore,
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
    private var storeFailedAt = Long.MIN_VALUE / 2
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
        callRelay(relay, RelayPaths.of(kind), Duration.ZERO) { result, _ ->
            if (result == null) return@callRelay callStore(relay, done) { direct.list(kind, null, stale, it) }
            done(Ok(StatePage(result.changes.map { it.changed }, false, result.revision, result.asOfNanos)))
        }
    }

    override fun watch(
        kind: StateKind,
        since: Long,
        wait: Duration,
        done: (Result<StateChanges, StateFailure>) -> Unit,
    ) {
        val relay = currentRelay() ?: return direct.watch(kind, since, minOf(wait, RelayWaits.relayWait(kind)), done)
        val maxWait = minOf(wait, RelayWaits.followerWait(kind))
        val path = "${RelayPaths.of(kind)}?${RelayPaths.SINCE}=$since&${RelayPaths.WAIT_MILLIS}=${maxWait.toMillis()}"
        callRelay(relay, path, maxWait) { result, historyGone ->
            when {
                result != null -> done(Ok(StateChanges(result.changes, result.revision, result.asOfNanos)))
                historyGone -> done(Err(StateFailure.HistoryGone))
                else -> watchNextRelay(relay, kind, since, done)
            }
        }
    }

    /** Asks the next relay after [failed], and the store if that one gives no usable response either. */
    private fun watchNextRelay(
        failed: InstanceRecord,
        kind: StateKind,
        since: Long,
        done: (Result<StateChanges, StateFailure>) -> Unit,
    ) {
        val next = relaySelector.choose(members(), clock.monotonicNanos(), excluded = failed.name)
        // Neither relay may have seen recent changes, so the store itself is watched from the same revision.
        val watchStore = { callStore(failed, done) { direct.watch(kind, since, FALLBACK_WATCH_WAIT, it) } }
        if (next == null || isStoreUnavailable()) return watchStore()
        val path = "${RelayPaths.of(kind)}?${RelayPaths.SINCE}=$since&${RelayPaths.WAIT_MILLIS}=0"
        callRelay(next, path, Duration.ZERO) { result, _ ->
            if (result == null) return@callRelay watchStore()
            relaySelector.avoid(failed.name, clock.monotonicNanos())
            done(Ok(StateChanges(result.changes, result.revision, result.asOfNanos)))
        }
    }

    private fun isStoreUnavailable(): Boolean = clock.monotonicNanos() - storeFailedAt < STORE_RETRY_INTERVAL.toNanos()

    /** Makes [call] to the store after [relay] has failed, unless the store has failed within [STORE_RETRY_INTERVAL] too. */
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
            result.onFailure { if (it == StateFailure.HistoryGone) relaySelector.avoid(relay.name, now) else storeFailedAt = now }
            done(result)
        }
    }

    private fun currentRelay(): InstanceRecord? {
        val relay = relaySelector.choose(members(), clock.monotonicNanos())
        if (relay?.name != relayName) {
            relayName = relay?.name
            log.write(GatewayEvent.RELAY_CHANGED, "relay" to relayName)
        }
        return relay
    }

    private fun callRelay(
        relay: InstanceRecord,
        path: String,
        wait: Duration,
        done: (RelayResult?, historyGone: Boolean) -> Unit,
    ) {
        val sent = clock.monotonicNanos()
        val address = ServerAddress(relay.host, relay.peerPort)
        calls.getOrPut(address) {
            HttpCallClient(loop, pool, address)
        }.call(HttpMethod.GET, path, emptyMap(), null, wait + RESPONSE_TIME) { result ->
            result.onSuccess { response ->
                val relayResult = decodeResponse(response, sent)
                if (relayResult == null && response.status != GONE) logRelayFailure(relay, "status ${response.status}")
                done(relayResult, response.status == GONE)
            }
            result.onFailure {
                logRelayFailure(relay, it.reason)
                done(null, false)
            }
        }
    }

    /** Without a response that can be read, the caller logs a relay failure and falls back to the store. */
    private fun decodeResponse(
        httpResult: HttpCallResponse,
        sent: Long,
    ): RelayResult? {
        if (httpResult.status != OK) return null
        val response = CborCodec.decode(RelayResponse.serializer(), httpResult.body).getOrElse { return null }
        relayedEra = maxOf(relayedEra, StoreRevision.eraOf(response.revision))
        return RelayResult(response, minOf(sent + response.asOfOffsetNanos, clock.monotonicNanos()))
    }

    private fun logRelayFailure(
        relay: InstanceRecord,
        reason: String,
    ) {
        log.write(GatewayEvent.RELAY_FAILED, "relay" to relay.name, "reason" to reason)
    }

    private class RelayResult(
        response: RelayResponse,
        val asOfNanos: Long,
    ) {
        val changes = response.changes
        val revision = response.revision
    }

    private companion object {
        const val OK = 200
        const val GONE = 410

        /** Time allowed for a relay's response on top of the requested wait; much more than a round trip between failure domains. */
        val RESPONSE_TIME: Duration = Duration.ofMillis(400)

        /** Too short for a TCP handshake packet to be retransmitted: a lost one counts as a failed connection. */
        val CONNECT_TIMEOUT: Duration = Duration.ofMillis(300)

        /** Minimum interval between fallback calls to a store that fails. */
        val STORE_RETRY_INTERVAL: Duration = Duration.ofSeconds(1)

        /** Wait of the store watch that replaces a failed relay; short because only changes that have already happened matter. */
        val FALLBACK_WATCH_WAIT: Duration = Duration.ofMillis(300)
    }
}
