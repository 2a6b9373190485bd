package io.buckthornlever.peer.process

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.buckthornlever.api.connection.PeerError
import io.buckthornlever.api.connection.PeerRejection
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.core.process.membership.ConnectionEvidence
import io.buckthornlever.core.process.membership.MemberUpdate
import io.buckthornlever.core.process.membership.PeerMessage
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.nio.ByteBuffer
import java.time.Duration
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

class PeerSocketsTest {
    private class Node(
        id: String,
        private val members: List<MemberUpdate> = emptyList(),
    ) : PeerHandler {
        val counters = PeerCounters()
        val received = LinkedBlockingQueue<PeerMessage>()
        val sockets = PeerSockets("127.0.0.1", 0, Peers.codec(id, counters = counters), counters, this, SENDER_BYTES_PER_SECOND).also {
            it.open()
            it.start()
        }
        val address = Peers.address(id, sockets.port)

        override fun onDatagram(from: InstanceId, message: PeerMessage) {
            received.add(message)
        }

        override fun onRequest(from: InstanceId, request: BulkMessage): BulkMessage =
            if (request is BulkMessage.MemberPull) BulkMessage.MemberList(members, emptyList()) else BulkMessage.Alive
    }

    private val open = ArrayList<AutoCloseable>()
    private val timeout = Duration.ofSeconds(5)

    @AfterTest
    fun close() = open.forEach { it.close() }

    private fun node(id: String, members: List<MemberUpdate> = emptyList()) = Node(id, members).also { open.add(it.sockets) }

    @Test
    fun `datagrams arrive in both directions`() {
        val a = node("a")
        val b = node("b")
        a.sockets.send(b.address, Peers.ping(1))
        assertEquals(Peers.ping(1), b.received.poll(5, TimeUnit.SECONDS))
        b.sockets.send(a.address, Peers.ping(2))
        assertEquals(Peers.ping(2), a.received.poll(5, TimeUnit.SECONDS))
    }

    @Test
    fun `a list of 1,200 members and a message near the frame limit fit in one frame`() {
        val members = List(1_200) { Peers.update("i-%05d".format(it)) }
        val a = node("a")
        val b = node("b", members)
        assertEquals(BulkMessage.MemberList(members, emptyList()), a.sockets.request(b.address, BulkMessage.MemberPull, timeout).get())
        assertEquals(
            BulkMessage.Alive,
            a.sockets.request(b.address, BulkMessage.Opaque("job", Random(1).nextBytes(1_000_000)), timeout).get(),
        )
        val tooLarge = a.sockets.request(b.address, BulkMessage.Opaque("job", Random(1).nextBytes(1_048_576)), timeout).getError()
        assertEquals(PeerError.Rejected(PeerRejection.OVERSIZED), tooLarge)
    }

    @Test
    fun `a refused, a silent and an answered connection are told apart`() {
        val a = node("a")
        val b = node("b")
        assertEquals(ConnectionEvidence.ANSWERED, a.sockets.testConnection(b.address, timeout))
        b.sockets.close()
        assertEquals(ConnectionEvidence.REFUSED, a.sockets.testConnection(b.address, timeout))
        val silent = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).also { open.add(it) }
        assertEquals(
            ConnectionEvidence.ACCEPTED_BUT_SILENT,
            a.sockets.testConnection(Peers.address("c", silent.localPort), Duration.ofMillis(200)),
        )
    }

    @Test
    fun `connections to a closed instance are refused at once`() {
        val a = node("a")
        repeat(CLOSED_INSTANCES) {
            val b = node("b$it")
            b.sockets.close()
            assertEquals(ConnectionEvidence.REFUSED, a.sockets.testConnection(b.address, timeout))
        }
    }

    @Test
    fun `a client with an oversized frame or without the key gets no response and does not affect other peers`() {
        val a = node("a")
        val b = node("b")
        listOf(Int.MAX_VALUE, -1, 40).forEach { length ->
            Socket(InetAddress.getLoopbackAddress(), b.sockets.port).use { socket ->
                val frame = ByteBuffer.allocate(44).putInt(length).array()
                socket.getOutputStream().write(frame)
                socket.shutdownOutput()
                assertEquals(-1, socket.getInputStream().read())
            }
        }
        assertEquals(2, b.counters.rejections(PeerRejection.OVERSIZED))
        assertEquals(1, b.counters.rejections(PeerRejection.UNAUTHENTICATED))
        assertNotNull(a.sockets.request(b.address, BulkMessage.Check, timeout).get())
    }

    /** Guards against datagrams from elsewhere that are all decoded, and against a limit on them that also limits other instances. */
    @Test
    fun `datagrams beyond the limit of their sender are not decoded while other instances are heard`() {
        val a = node("a")
        val b = node("b")
        a.sockets.send(b.address, Peers.ping(1))
        assertEquals(Peers.ping(1), b.received.poll(5, TimeUnit.SECONDS))
        DatagramSocket().use { foreign ->
            val packet = DatagramPacket(ByteArray(1_000), 1_000, InetAddress.getLoopbackAddress(), b.sockets.port)
            while (b.counters.rejections(PeerRejection.LIMITED) == 0L) {
                check(b.counters.rejections(PeerRejection.UNAUTHENTICATED) < MAX_DECODED) { "all datagrams are decoded" }
                foreign.send(packet)
            }
            // The buffer of the socket may still be full.
            val heard =
                (1..5).firstNotNullOfOrNull {
                    a.sockets.send(b.address, Peers.ping(2))
                    b.received.poll(1, TimeUnit.SECONDS)
                }
            assertEquals(Peers.ping(2), heard)
        }
    }

    private companion object {
        const val CLOSED_INSTANCES = 50

        /** Low, so that few datagrams exceed it. */
        const val SENDER_BYTES_PER_SECOND = 100_000L

        /** Far more than the allowance of several seconds. */
        const val MAX_DECODED = 20_000
    }
}
