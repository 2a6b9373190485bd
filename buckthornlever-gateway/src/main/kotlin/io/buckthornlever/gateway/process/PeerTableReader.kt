package io.buckthornlever.gateway.process

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.serving.InstanceRecord
import io.buckthornlever.api.serving.ServingTable
import io.buckthornlever.api.serving.StateValue
import io.buckthornlever.gateway.connection.ConnectionPool
import io.buckthornlever.gateway.connection.HttpCallClient
import io.buckthornlever.gateway.connection.HttpCallResponse
import io.buckthornlever.gateway.connection.ServerAddress
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpMethod
import java.time.Duration
import java.util.concurrent.ThreadLocalRandom
import java.util.concurrent.TimeUnit
import kotlin.random.asKotlinRandom

/**
 * Asks other instances for a newer serving table than this one has, at the start of the process and after a restore of the store. A store
 * that was restored from a copy lacks the newest tables until they are written again, so what it says confirms a table only once some
 * other instance has been asked or none can answer.
 *
 * @param members other live instances, which are known from [onMembersListed] on
 * @param version version of the table in force; null if there is none
 * @param onNewer receives a newer table
 */
internal class PeerTableReader(
    private val members: () -> Collection<InstanceRecord>,
    private val loop: EventLoop,
    clock: Clock,
    private val log: EventLog,
    private val version: () -> Long?,
    private val onNewer: (ServingTable) -> Unit,
) {
    private val pool = ConnectionPool(loop, clock, CONNECT_TIMEOUT)
    private var areMembersListed = false
    private var round: Round? = null
    private var confirm: () -> Unit = {}

    /** True once other instances have been asked since the start of the process. */
    var hasAsked = false
        private set

    /** True while what the store says confirms the table. */
    private val isSettled: Boolean get() = hasAsked && round == null

    /** Skips the question at the first start of a site, when no other instance can have a table. */
    fun skip() {
        hasAsked = true
    }

    /** The other instances are known. */
    fun onMembersListed() {
        if (areMembersListed) return
        areMembersListed = true
        if (!hasAsked) ask()
    }

    /** The store was restored from a copy. */
    fun onStoreRestored() {
        if (areMembersListed) ask()
    }

    /** Runs [confirm] at once, or in place of the one before as soon as the other instances have been asked. */
    fun whenSettled(confirm: () -> Unit) {
        if (isSettled) confirm() else this.confirm = confirm
    }

    private fun ask() {
        val next = Round()
        round = next
        loop.schedule({ next.end() }, MAX_TIME.toMillis(), TimeUnit.MILLISECONDS)
        next.askNext()
    }

    /** Asks some instances at a time until one of them has a confirmed table. */
    private inner class Round {
        private val asked = HashSet<String>()
        private val failures = ArrayList<String>()
        private var pending = 0
        private var answers = 0

        fun askNext() {
            val random = ThreadLocalRandom.current()
            val next = members().filter { it.name !in asked }.shuffled(random.asKotlinRandom()).take(ASKED_AT_ONCE)
            if (answers > 0 || next.isEmpty() || asked.size >= MAX_ASKED) return end()
            asked.addAll(next.map { it.name })
            pending = next.size
            next.forEach(::ask)
        }

        fun end() {
            if (round !== this) return
            round = null
            hasAsked = true
            log.write(
                GatewayEvent.PEERS_ASKED_FOR_TABLE,
                "asked" to asked.size,
                "answers" to answers,
                "version" to version(),
                "failures" to failures.joinToString("; ").ifEmpty { null },
            )
            val action = confirm
            confirm = {}
            action()
        }

        private fun ask(peer: InstanceRecord) {
            val calls = HttpCallClient(loop, pool, ServerAddress(peer.host, peer.peerPort))
            val path = "${RelayPaths.NEWER_TABLE}?${RelayPaths.SINCE}=${version() ?: Long.MIN_VALUE}"
            calls.call(HttpMethod.GET, path, emptyMap(), null, RESPONSE_TIME) { result ->
                result.onSuccess { onResponse(peer, it) }
                result.onFailure { failures.add("${peer.name}: ${it.reason}") }
                pending--
                if (answers >= SUFFICIENT_ANSWERS) return@call end()
                if (pending == 0 && round === this) askNext()
            }
        }

        private fun onResponse(
            peer: InstanceRecord,
            response: HttpCallResponse,
        ) {
            val table = if (response.status == OK) decodeTable(response.body) else null
            if (response.status == NO_CONTENT || table != null) {
                answers++
            } else {
                failures.add("${peer.name}: no table, status ${response.status}")
            }
            // Applies even after the end of the round: the highest version is right at any time.
            table?.let(onNewer)
        }
    }

    private fun decodeTable(body: ByteArray): ServingTable? {
        val response = CborCodec.decode(RelayResponse.serializer(), body).getOrElse { return null }
        return (response.changes.singleOrNull()?.changed?.value as? StateValue.Table)?.table
    }

    private companion object {
        const val OK = 200
        const val NO_CONTENT = 204

        const val ASKED_AT_ONCE = 3

        /** One instance may be cut off from the store, and know an older table than the others do. */
        const val SUFFICIENT_ANSWERS = 2

        /** Instances that may all have started at the same time, and have no confirmed table themselves. */
        const val MAX_ASKED = 9

        /** Several round trips between failure domains. */
        val RESPONSE_TIME: Duration = Duration.ofMillis(400)
        val CONNECT_TIMEOUT: Duration = Duration.ofMillis(300)

        /** Bounds how long an instance that starts beside others that have lost power waits for them. */
        val MAX_TIME: Duration = Duration.ofSeconds(1)
    }
}
