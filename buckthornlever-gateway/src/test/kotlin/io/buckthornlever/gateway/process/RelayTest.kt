package io.buckthornlever.gateway.process

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.SystemClock
import io.buckthornlever.api.serving.InstanceRecord
import io.buckthornlever.api.serving.ServingTable
import io.buckthornlever.api.serving.StateChanges
import io.buckthornlever.api.serving.StateFailure
import io.buckthornlever.api.serving.StateKind
import io.buckthornlever.api.serving.StateObject
import io.buckthornlever.api.serving.StatePage
import io.buckthornlever.api.serving.StateStore
import io.buckthornlever.api.serving.StateValue
import io.buckthornlever.api.serving.StoreRevision
import io.buckthornlever.api.serving.VersionOrder
import io.buckthornlever.api.version.MoveStatus
import io.buckthornlever.core.serving.RelayLog
import io.buckthornlever.gateway.connection.CallerExchange
import io.buckthornlever.gateway.connection.CallerListener
import io.buckthornlever.gateway.connection.CallerReply
import io.buckthornlever.gateway.connection.CallerRequest
import io.buckthornlever.gateway.connection.CallerService
import io.buckthornlever.gateway.connection.ServerAddress
import io.buckthornlever.gateway.connection.TestLimits
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Guards against followers that miss changes, trust a relay that has lost the store, or keep to a relay that does not respond. */
class RelayTest {
    private val group = NioEventLoopGroup(1)
    private val loop = group.next()
    private val log = RelayLog(Duration.ofSeconds(5))
    private val relay = RelayService(loop, SystemClock, mapOf(StateKind.SERVING_TABLE to log), { true }) { }
    private val listener = CallerListener(loop, relay, SystemClock, TestLimits.on(loop))
    private val store = CountingStore()

    @AfterTest
    fun stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    @Test
    fun `a follower lists and watches without calls to the store`() {
        publish(7)
        val follower = follower(listener.listen(LOOPBACK))
        val page = checkNotNull(list(follower).get())
        assertEquals(listOf("main"), page.objects.map { it.name })
        assertEquals(TABLE, (page.objects.single().value as StateValue.Table).table)
        val changes = CompletableFuture<Result<StateChanges, StateFailure>>()
        loop.execute { follower.watch(StateKind.SERVING_TABLE, page.revision, Duration.ofSeconds(1)) { changes.complete(it) } }
        publish(9)
        val received = checkNotNull(changes.get(5, TimeUnit.SECONDS).get())
        assertEquals(9, received.revision)
        assertEquals(0, store.calls.get())
    }

    @Test
    fun `an answer never claims to be newer than the store's confirmation`() {
        val confirmed = SystemClock.monotonicNanos()
        onLoop {
            log.onChanged(StateObject("main", 1, StateValue.Table(TABLE)))
            log.onSynchronised(1, confirmed)
        }
        val page = checkNotNull(list(follower(listener.listen(LOOPBACK))).get())
        assertTrue(checkNotNull(page.asOfNanos) <= confirmed)
    }

    @Test
    fun `a relay that has lost the store is not trusted`() {
        onLoop { log.onSynchronised(1, SystemClock.monotonicNanos() - Duration.ofSeconds(6).toNanos()) }
        assertNull(checkNotNull(list(follower(listener.listen(LOOPBACK))).get()).asOfNanos)
        assertEquals(1, store.calls.get())
    }

    @Test
    fun `without a listening relay the store is asked at once`() {
        val port = listener.listen(LOOPBACK)
        onLoop { listener.close() }
        list(follower(port))
        assertEquals(1, store.calls.get())
    }

    @Test
    fun `a watch goes to the next relay before the store when the first one has lost it`() {
        onLoop { log.onSynchronised(1, SystemClock.monotonicNanos() - Duration.ofSeconds(6).toNanos()) }
        val good = RelayLog(Duration.ofSeconds(5))
        val relay = RelayService(loop, SystemClock, mapOf(StateKind.SERVING_TABLE to good), { true }) { }
        val second = CallerListener(loop, relay, SystemClock, TestLimits.on(loop))
        onLoop {
            good.onSynchronised(7, SystemClock.monotonicNanos())
            good.onChanged(StateObject("main", 9, StateValue.Table(TABLE)))
            good.onSynchronised(9, SystemClock.monotonicNanos())
        }
        val self = InstanceRecord("follower", "127.0.0.1", 1, FailureDomain("a"), 1.0)
        val first = InstanceRecord("first", "127.0.0.1", listener.listen(LOOPBACK), FailureDomain("a"), 3.0)
        val other = InstanceRecord("second", "127.0.0.1", second.listen(LOOPBACK), FailureDomain("a"), 2.0)
        val follower = RelayedStore(store, store, self, { listOf(first, other) }, loop, SystemClock, EventLog("follower"))
        val changes = CompletableFuture<Result<StateChanges, StateFailure>>()
        loop.execute { follower.watch(StateKind.SERVING_TABLE, 7, Duration.ofSeconds(1)) { changes.complete(it) } }
        assertEquals(9, checkNotNull(changes.get(5, TimeUnit.SECONDS).get()).revision)
        assertEquals(0, store.calls.get())
    }

    @Test
    fun `a follower without a version is served what it knows, or asks the store`() {
        publish(StoreRevision.of(1, 7))
        publish(StoreRevision.of(1, 9))
        val port = listener.listen(LOOPBACK)
        assertEquals(503, get(port, "/state/serving-table").statusCode())
        assertEquals(9, decode(get(port, "/state/serving-table?since=7&wait=0")).revision)
        assertEquals(StoreRevision.of(1, 9), decode(get(port, "/state/serving-table?since=${StoreRevision.of(1, 7)}&wait=0")).revision)
        assertEquals(503, get(port, "/state/serving-table?since=10&wait=0").statusCode())
        val versioned = decode(get(port, "/state/serving-table?version=1"))
        assertEquals(StoreRevision.of(1, 9) to PeerProtocol.CURRENT, versioned.revision to versioned.version)
    }

    @Test
    fun `the response of a relay without a version is not used`() {
        val older =
            object : CallerService by relay {
                override fun serve(
                    request: CallerRequest,
                    reply: CallerReply,
                ): CallerExchange {
                    val body = CborCodec.encode(RelayResponse.serializer(), RelayResponse(emptyList(), 7, -1))
                    reply.respond(HttpResponseStatus.OK, DefaultHttpHeaders(), body)
                    return NoExchange
                }
            }
        val port = CallerListener(loop, older, SystemClock, TestLimits.on(loop)).listen(LOOPBACK)
        list(follower(port))
        assertEquals(1, store.calls.get())
    }

    private fun get(
        port: Int,
        path: String,
    ): HttpResponse<ByteArray> =
        HttpClient.newHttpClient().send(
            HttpRequest.newBuilder(URI("http://127.0.0.1:$port$path")).version(HttpClient.Version.HTTP_1_1).build(),
            HttpResponse.BodyHandlers.ofByteArray(),
        )

    private fun decode(response: HttpResponse<ByteArray>): RelayResponse =
        checkNotNull(CborCodec.decode(RelayResponse.serializer(), response.body()).get()) { "status ${response.statusCode()}" }

    private object NoExchange : CallerExchange {
        override fun onCallerDisconnected() = Unit

        override fun onWritabilityChanged(writable: Boolean) = Unit
    }

    private fun publish(revision: Long) =
        onLoop {
            log.onChanged(StateObject("main", revision, StateValue.Table(TABLE)))
            if (log.onSynchronised(revision, SystemClock.monotonicNanos())) relay.onChanged(StateKind.SERVING_TABLE)
        }

    private fun follower(port: Int): RelayedStore {
        val self = InstanceRecord("follower", "127.0.0.1", 1, FailureDomain("a"), 1.0)
        val other = InstanceRecord("relay", "127.0.0.1", port, FailureDomain("a"), 2.0)
        return RelayedStore(store, store, self, { listOf(other) }, loop, SystemClock, EventLog("follower"))
    }

    private fun list(follower: RelayedStore): Result<StatePage, StateFailure> {
        val page = CompletableFuture<Result<StatePage, StateFailure>>()
        loop.execute { follower.list(StateKind.SERVING_TABLE, null, false) { page.complete(it) } }
        return page.get(5, TimeUnit.SECONDS)
    }

    private fun onLoop(action: () -> Unit) {
        loop.submit(action).sync()
    }

    private class CountingStore : StateStore {
        override val era: Long = 0

        val calls = AtomicInteger()

        override fun list(
            kind: StateKind,
            after: String?,
            stale: Boolean,
            done: (Result<StatePage, StateFailure>) -> Unit,
        ) {
            calls.incrementAndGet()
            done(Ok(StatePage(emptyList(), false, 1)))
        }

        override fun watch(
            kind: StateKind,
            since: Long,
            wait: Duration,
            done: (Result<StateChanges, StateFailure>) -> Unit,
        ) {
            calls.incrementAndGet()
        }

        override fun read(
            kind: StateKind,
            name: String,
            done: (Result<StateObject, StateFailure>) -> Unit,
        ) = Unit

        override fun create(
            kind: StateKind,
            name: String,
            value: StateValue,
            done: (Result<StateObject, StateFailure>) -> Unit,
        ) = Unit

        override fun replace(
            kind: StateKind,
            name: String,
            expected: Long?,
            value: StateValue,
            done: (Result<StateObject, StateFailure>) -> Unit,
        ) = Unit

        override fun replaceStatus(
            order: VersionOrder,
            expected: Long,
            status: MoveStatus,
            done: (Result<StateObject, StateFailure>) -> Unit,
        ) = Unit

        override fun delete(
            kind: StateKind,
            name: String,
            done: (Result<Unit, StateFailure>) -> Unit,
        ) = Unit
    }

    private companion object {
        val LOOPBACK = ServerAddress("127.0.0.1", 0)
        val TABLE = ServingTable(3, emptyList(), emptyList(), emptyList())
    }
}
