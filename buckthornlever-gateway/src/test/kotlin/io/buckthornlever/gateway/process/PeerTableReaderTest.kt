package io.buckthornlever.gateway.process

import io.buckthornlever.api.process.FailureDomain
import io.buckthornlever.api.process.SystemClock
import io.buckthornlever.api.serving.InstanceRecord
import io.buckthornlever.api.serving.ServingTable
import io.buckthornlever.api.serving.StateKind
import io.buckthornlever.core.serving.RelayLog
import io.buckthornlever.gateway.connection.CallerListener
import io.buckthornlever.gateway.connection.ServerAddress
import io.buckthornlever.gateway.connection.TestLimits
import io.netty.channel.nio.NioEventLoopGroup
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against an old table that a restored store confirms, and against waiting for instances that do not answer. */
class PeerTableReaderTest {
    private val group = NioEventLoopGroup(1)
    private val loop = group.next()
    private val members = ArrayList<InstanceRecord>()
    private var table = table(1)
    private val confirmed = CompletableFuture<Long>()
    private val reader = PeerTableReader({ members }, loop, SystemClock, EventLog("i0"), { table.version }) {
        if (it.version >
            table.version
        ) {
            table = it
        }
    }

    @AfterTest
    fun stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    @Test
    fun `the newer table of another instance is in force before the store confirms one`() {
        addPeer(table(2))
        assertEquals(2, confirmedVersion())
    }

    @Test
    fun `the newest table counts though the instance asked beside has an older one`() {
        addPeer(table(1))
        addPeer(table(3))
        assertEquals(3, confirmedVersion())
    }

    @Test
    fun `instances that have no confirmed table themselves do not count`() {
        repeat(6) { addPeer(null) }
        addPeer(table(2))
        assertEquals(2, confirmedVersion())
    }

    @Test
    fun `the table of the store counts if it is as new`() {
        table = table(4)
        addPeer(table(4))
        assertEquals(4, confirmedVersion())
    }

    @Test
    fun `the table of the store counts if nobody else is there`() {
        assertEquals(1, confirmedVersion())
    }

    @Test
    fun `the table of the store counts if no other instance answers`() {
        members.add(record("gone", CLOSED_PORT))
        addPeer(null)
        assertEquals(1, confirmedVersion())
    }

    @Test
    fun `nothing is confirmed before the other instances are known`() {
        addPeer(table(2))
        onLoop { reader.whenSettled { confirmed.complete(table.version) } }
        assertFalse(confirmed.isDone)
        onLoop { reader.onMembersListed() }
        assertEquals(2, confirmed.get(5, TimeUnit.SECONDS))
    }

    @Test
    fun `the first start of a site waits for nobody`() {
        onLoop {
            reader.skip()
            reader.whenSettled { confirmed.complete(table.version) }
        }
        assertTrue(confirmed.isDone)
    }

    // Guards against an old table that a restored store confirms for an instance that was cut off when it was replaced.
    @Test
    fun `other instances are asked again after a restore of the store`() {
        assertEquals(1, confirmedVersion())
        addPeer(table(2))
        val again = CompletableFuture<Long>()
        onLoop {
            reader.onStoreRestored()
            reader.whenSettled { again.complete(table.version) }
        }
        assertEquals(2, again.get(5, TimeUnit.SECONDS))
    }

    private fun confirmedVersion(): Long {
        onLoop {
            reader.onMembersListed()
            reader.whenSettled { confirmed.complete(table.version) }
        }
        return confirmed.get(5, TimeUnit.SECONDS)
    }

    private fun addPeer(table: ServingTable?) {
        val logs = mapOf(StateKind.SERVING_TABLE to RelayLog(Duration.ofSeconds(5)))
        val service = RelayService(loop, SystemClock, logs, { true }, { table }) { }
        val port = CallerListener(loop, service, SystemClock, TestLimits.on(loop)).listen(ServerAddress("127.0.0.1", 0))
        onLoop { members.add(record("i${members.size + 1}", port)) }
    }

    private fun onLoop(action: () -> Unit) {
        loop.submit(action).sync()
    }

    private fun record(
        name: String,
        port: Int,
    ) = InstanceRecord(name, "127.0.0.1", port, FailureDomain("a"), 10.0, PeerProtocol.CURRENT)

    private fun table(version: Long) = ServingTable(version, emptyList(), emptyList(), emptyList())

    private companion object {
        /** Port on which nothing listens. */
        const val CLOSED_PORT = 1
    }
}
