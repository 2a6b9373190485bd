package io.buckthornlever.peer.process

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.buckthornlever.api.connection.PeerError
import io.buckthornlever.api.connection.PeerRejection
import io.buckthornlever.api.process.InstanceId
import io.buckthornlever.core.process.membership.PeerMessage
import java.io.DataInputStream
import java.io.DataOutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.time.Duration
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against the copy of a peer's refusal that is taken for the response to a later request. */
class RepeatedPeerResponseTest {
    private object NoHandler : PeerHandler {
        override fun onDatagram(from: InstanceId, message: PeerMessage): Unit = Unit

        override fun onRequest(from: InstanceId, request: BulkMessage): BulkMessage = BulkMessage.Alive
    }

    @Test
    fun `a repeated refusal of a peer is not taken for the response to another request`() {
        val codec = Peers.codec("b")
        val refusal = checkNotNull(codec.encodeFrame(InstanceId("a"), BulkMessage.Declined("not served")))
        val answer = { checkNotNull(codec.encodeFrame(InstanceId("a"), BulkMessage.Alive)) }
        val responses = listOf({ listOf(refusal, refusal) }, { listOf(answer()) }, { listOf(refusal, answer()) })
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
            thread(isDaemon = true) { responses.forEach { respond(server, it()) } }
            val counters = PeerCounters()
            PeerSockets("127.0.0.1", 0, Peers.codec("a", counters = counters), counters, NoHandler).use { sockets ->
                sockets.open()
                val request = { sockets.request(Peers.address("b", server.localPort), BulkMessage.Check, Duration.ofSeconds(5)) }
                assertEquals(BulkMessage.Declined("not served"), request().get())
                assertEquals(BulkMessage.Alive, request().get())
                assertEquals(PeerError.Rejected(PeerRejection.MALFORMED), request().getError())
            }
        }
    }

    private fun respond(server: ServerSocket, frames: List<ByteArray>) {
        server.accept().use { socket ->
            val input = DataInputStream(socket.getInputStream())
            input.readNBytes(input.readInt())
            val output = DataOutputStream(socket.getOutputStream())
            for (frame in frames) {
                output.writeInt(frame.size)
                output.write(frame)
            }
        }
    }
}
