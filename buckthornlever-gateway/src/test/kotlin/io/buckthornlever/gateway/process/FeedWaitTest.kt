package io.buckthornlever.gateway.process

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.SystemClock
import io.buckthornlever.api.serving.DutyOutcome
import io.buckthornlever.api.serving.SingletonDuties
import io.buckthornlever.api.serving.StateChanges
import io.buckthornlever.api.serving.StateFailure
import io.buckthornlever.api.serving.StateKind
import io.buckthornlever.api.serving.StateObject
import io.buckthornlever.api.serving.StatePage
import io.buckthornlever.api.serving.StateStore
import io.buckthornlever.api.serving.StateValue
import io.buckthornlever.api.serving.UpstreamOrder
import io.buckthornlever.api.serving.UsageWindow
import io.buckthornlever.api.serving.VersionOrder
import io.buckthornlever.api.version.MoveStatus
import io.buckthornlever.core.serving.QuotaBounds
import io.buckthornlever.core.serving.TableAgeLimits
import io.buckthornlever.gateway.connection.ServerAddress
import io.buckthornlever.gateway.request.CallerProtocol
import io.buckthornlever.gateway.request.CallerRequestHead
import io.buckthornlever.gateway.request.ForwardTarget
import io.buckthornlever.gateway.request.UpstreamHealth
import io.buckthornlever.gateway.request.UpstreamResponseHead
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * Guards against requests to an upstream that has left unnoticed because the watch for it waits on a silent connection. Such a watch
 * must time out before an instance counts as in touch with the store again.
 */
class FeedWaitTest {
    @Test
    fun `a silent watch of upstreams ends within the time after which an instance counts as in touch`() {
        val store = RecordingStore()
        val group = NioEventLoopGroup(1)
        try {
            Gateway(settings(), group.next(), SystemClock, NoProtocol, store, NoDuties, EventLog("i")) { }.start()
            assertTrue(store.watched.await(10, TimeUnit.SECONDS))
            val wait = store.waits.getValue(StateKind.UPSTREAMS)
            assertTrue(wait + RESPONSE_TIMEOUT + MAX_BACKOFF < IN_TOUCH_TIME, "a watch waits for $wait")
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
        }
    }

    private fun settings(): GatewaySettings {
        val loopback = ServerAddress("127.0.0.1", 0)
        return GatewaySettings(
            instance = "i",
            domain = FailureDomain("a"),
            domains = listOf(FailureDomain("a")),
            callerAddress = loopback,
            probeAddress = loopback,
            peerAddress = loopback,
            linkMegabits = 0.0,
            tableAgeLimits = TableAgeLimits.of(Duration.ofSeconds(2), Duration.ofSeconds(5)),
            quota = QuotaBounds(),
            retryRatio = 0.2,
            retryWindow = Duration.ofSeconds(10),
            retrySlack = 50.0,
            unprovedVersionPercent = 8,
            leaseTtl = Duration.ofSeconds(3),
            usageWindow = null,
            firstStart = true,
            grace = Duration.ofSeconds(8),
        )
    }

    private class RecordingStore : StateStore {
        override val era: Long = 0

        val waits = ConcurrentHashMap<StateKind, Duration>()
        val watched = CountDownLatch(4)

        override fun list(
            kind: StateKind,
            after: String?,
            stale: Boolean,
            done: (Result<StatePage, StateFailure>) -> Unit,
        ) = done(Ok(StatePage(emptyList(), false, 1)))

        override fun watch(
            kind: StateKind,
            since: Long,
            wait: Duration,
            done: (Result<StateChanges, StateFailure>) -> Unit,
        ) {
            waits[kind] = wait
            watched.countDown()
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

    private object NoDuties : SingletonDuties {
        override fun reportUsage(
            holder: String,
            fencing: Long,
            window: UsageWindow,
            done: (DutyOutcome) -> Unit,
        ) = Unit

        override fun orderUpstreams(
            holder: String,
            fencing: Long,
            order: UpstreamOrder,
            done: (DutyOutcome) -> Unit,
        ) = Unit
    }

    private object NoProtocol : CallerProtocol {
        override fun decodeRequest(request: HttpRequest): CallerRequestHead = CallerRequestHead(null, null, null, emptyList(), 0, 0, null)

        override fun upstreamHeaders(
            request: HttpRequest,
            target: ForwardTarget,
        ): HttpHeaders = DefaultHttpHeaders()

        override fun decodeHealth(headers: HttpHeaders): UpstreamHealth? = null

        override fun decodeResponse(response: HttpResponse): UpstreamResponseHead = UpstreamResponseHead(null, false, false, null, null)

        override fun callerHeaders(response: HttpResponse): HttpHeaders = DefaultHttpHeaders()
    }

    private companion object {
        /** Time after a fault from which the platform's rules apply again on both sites. */
        val IN_TOUCH_TIME: Duration = Duration.ofSeconds(3)

        /** Time that the store client allows for a response on top of the wait of a watch. */
        val RESPONSE_TIMEOUT: Duration = Duration.ofMillis(900)

        /** Longest backoff of a feed after a failure. */
        val MAX_BACKOFF: Duration = Duration.ofMillis(400)
    }
}
