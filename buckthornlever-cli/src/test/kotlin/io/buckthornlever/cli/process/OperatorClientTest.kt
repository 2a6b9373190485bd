package io.buckthornlever.cli.process

import io.buckthornlever.api.connection.UpstreamId
import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.api.process.ObjectKey
import io.buckthornlever.api.process.Pool
import io.buckthornlever.api.process.PoolName
import io.buckthornlever.api.process.PoolTable
import io.buckthornlever.api.process.RouteTable
import io.buckthornlever.api.process.ServiceKind
import io.buckthornlever.api.process.UpstreamSpec
import io.buckthornlever.api.version.VersionLabel
import io.buckthornlever.cli.connection.OperatorClient
import io.buckthornlever.core.process.TableCodec
import io.buckthornlever.daemon.process.Daemon
import io.buckthornlever.daemon.process.Settings
import io.buckthornlever.standin.process.EndlessServer
import io.buckthornlever.standin.process.InstanceListStandIn
import io.buckthornlever.standin.process.ObjectStoreStandIn
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.TestInstance
import java.nio.file.Files
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class OperatorClientTest {
    private val directory = Files.createTempDirectory("ctl-test")
    private val token = directory.resolve("token").also { Files.writeString(it, "secret") }
    private val peerKey = directory.resolve("peer-key").also { Files.writeString(it, "0123456789abcdef0123456789abcdef") }
    private val store = ObjectStoreStandIn().start()
    private val list = InstanceListStandIn().start()
    private val daemon = start()
    private val client = OperatorClient(daemon.operatorUrl, "secret")

    @AfterAll
    fun close() {
        daemon.close()
        list.close()
        store.close()
        Files.walk(directory).sorted(Comparator.reverseOrder()).forEach(Files::delete)
    }

    @Test
    fun `a daemon that sends a head or a body without end is given up`() {
        for (server in listOf(EndlessServer.inHead(), EndlessServer.inBody())) {
            server.use {
                assertFailsWith<CommandFailure> { OperatorClient(server.url, "secret").get("/admin/status") }
                assertTrue(server.sentBytes < MAX_SENT_BYTES, "${server.sentBytes} bytes were sent")
            }
        }
    }

    @Test
    fun `a change is in effect once the waiter returns`() {
        val response = client.post("/admin/domains/zone-a/take-out").bodyOrFail()
        PropagationWaiter(listOf(client), "pools", JsonText.parseRevision(response)).await(10)
        assertEquals(listOf(FailureDomain("zone-a")), daemon.effectiveConfiguration.pools.domainsOut)
    }

    @Test
    fun `the tables in force are read from a daemon`() {
        val tables = ConfigurationTables.fetch { client.get("/admin/config/$it").bodyOrFail() }
        assertEquals(listOf(PoolName("p")), tables.pools?.pools?.map { it.name })
        assertEquals(RouteTable(), tables.routes)
        assertEquals(emptyList(), tables.accounts?.accounts)
    }

    @Test
    fun `an instance that lags is named in the failure`() {
        val failure = assertFailsWith<CommandFailure> { PropagationWaiter(listOf(client), "pools", Long.MAX_VALUE).await(0) }
        assertEquals(ExitCode.NOT_EVERYWHERE, failure.exitCode)
        assertEquals(true, failure.message?.contains("entry-7"))
    }

    @Test
    fun `a wrong token and an unreachable daemon fail with a message`() {
        val wrong = assertFailsWith<CommandFailure> { OperatorClient(daemon.operatorUrl, "wrong").get("/admin/status").bodyOrFail() }
        assertEquals(ExitCode.FAILED, wrong.exitCode)
        assertFailsWith<CommandFailure> { OperatorClient("http://127.0.0.1:1", "x").get("/admin/status") }
    }

    private fun start(): Daemon {
        val upstream = UpstreamSpec(UpstreamId("u"), "http://127.0.0.1:1", FailureDomain("zone-a"), VersionLabel("v1"))
        val pools = PoolTable(pools = listOf(Pool(PoolName("p"), ServiceKind.PLAIN, listOf(upstream))))
        store.put(ObjectKey.POOLS.value, TableCodec.encode(pools))
        store.put(ObjectKey.ROUTES.value, TableCodec.encode(RouteTable()))
        val settings =
            Settings(
                site = "test",
                instance = Settings.InstanceSettings(InstanceId("entry-7"), FailureDomain("zone-a")),
                listen = Settings.ListenSettings(),
                platform = Settings.PlatformSettings(store.url, list.url),
                keys = Settings.KeySettings(token.toString(), peerKey.toString()),
            )
        return Daemon(settings).also { started ->
            started.start()
            while (!started.isReady()) Thread.onSpinWait()
        }
    }

    private companion object {
        /** The largest response that the client reads, and the buffers of two sockets on loopback. */
        const val MAX_SENT_BYTES = 96L * 1_024 * 1_024
    }
}
