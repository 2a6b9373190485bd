package io.buckthornlever.peer.process

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.mapBoth
import com.github.michaelbull.result.onSuccess
import io.buckthornlever.api.connection.PeerError
import io.buckthornlever.api.connection.PeerRejection
import io.buckthornlever.core.process.membership.ConnectionEvidence
import io.buckthornlever.core.process.membership.MemberAddress
import io.buckthornlever.core.process.membership.PeerMessage
import io.buckthornlever.core.serving.SenderLimiter
import io.buckthornlever.peer.connection.FrameStream
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.BoundDatagramSocket
import io.ktor.network.sockets.Datagram
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.SocketAddress
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.isActive
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.Buffer
import kotlinx.io.readByteArray
import java.io.IOException
import java.net.ConnectException
import java.nio.channels.ClosedSelectorException
import java.time.Duration

/**
 * UDP and TCP sockets that share one port number. One coroutine sends datagrams from a bounded queue that drops its oldest entry when
 * full. Each request opens a new connection: an idle connection could break without either side noticing.
 *
 * @param host address to bind
 * @param requestedPort port to bind; 0 for any free port
 * @param senderBytesPerSecond bytes of datagrams that are decoded in a second of each address that has sent an authentic one, and of
 * all other addresses together
 */
public class PeerSockets(
    private val host: String,
    private val requestedPort: Int,
    private val codec: PeerCodec,
    private val counters: PeerCounters,
    private val handler: PeerHandler,
    senderBytesPerSecond: Long = SenderLimiter.DEFAULT_BYTES_PER_SECOND,
) : AutoCloseable {
    private class OutgoingDatagram(
        val to: MemberAddress,
        val message: PeerMessage,
    )

    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val selectorJob = SupervisorJob()
    private val selector = SelectorManager(Dispatchers.IO + selectorJob)
    private val connectionPermits = Semaphore(MAX_CONNECTIONS)
    private val outgoing = Channel<OutgoingDatagram>(SEND_QUEUE_CAPACITY, BufferOverflow.DROP_OLDEST) {
        counters.sendQueueDrops.increment()
    }
    private val limiter = SenderLimiter<SocketAddress>(senderBytesPerSecond)

    /** Addresses with an allowance of their own, the one that got it first in front. */
    private val authenticSenders = LinkedHashSet<SocketAddress>()
    private var udp: BoundDatagramSocket? = null
    private var tcp: ServerSocket? = null

    /** Bound port; 0 until [open] has returned. */
    public var port: Int = 0
        private set

    /** Binds both sockets without receiving yet, so that the port is known before the codec's identity is used. */
    public fun open(): Unit = runBlocking {
        repeat(MAX_BIND_ATTEMPTS) { attempt ->
            val server = aSocket(selector).tcp().bind(host, requestedPort)
            val bound = (server.localAddress as InetSocketAddress).port
            try {
                udp = aSocket(selector).udp().bind(InetSocketAddress(host, bound))
                tcp = server
                port = bound
                return@runBlocking
            } catch (e: IOException) {
                server.close()
                if (requestedPort != 0 || attempt == MAX_BIND_ATTEMPTS - 1) throw e
            }
        }
    }

    /** Starts receiving and sending. Requires [open]. */
    public fun start() {
        val datagrams = checkNotNull(udp) { "the UDP socket is not bound; call open() before start()" }
        val server = checkNotNull(tcp) { "the TCP socket is not bound; call open() before start()" }
        scope.launch { receiveDatagrams(datagrams) }
        scope.launch { sendQueuedDatagrams(datagrams) }
        scope.launch { acceptConnections(server) }
    }

    /** Queues a datagram for [to]; returns at once. */
    public fun send(to: MemberAddress, message: PeerMessage) {
        outgoing.trySend(OutgoingDatagram(to, message))
    }

    /** Sends [request] over a new connection and blocks until the response arrives or [timeout] has passed. */
    public fun request(to: MemberAddress, request: BulkMessage, timeout: Duration): Result<BulkMessage, PeerError> = runBlocking {
        val frame = codec.encodeFrame(to.id, request) ?: return@runBlocking Err(PeerError.Rejected(PeerRejection.OVERSIZED))
        var connected = false
        val result = withTimeoutOrNull(timeout.toMillis()) {
            try {
                aSocket(selector).tcp().connect(InetSocketAddress(to.host, to.port)).use { socket ->
                    connected = true
                    exchangeFrames(socket, to, frame)
                }
            } catch (e: ConnectException) {
                Err(PeerError.Refused)
            } catch (e: IOException) {
                Err(PeerError.Unreachable(e.message ?: e.javaClass.simpleName))
            } catch (e: ClosedSelectorException) {
                Err(PeerError.Unreachable("this instance is stopping"))
            }
        }
        result ?: Err(if (connected) PeerError.Silent else PeerError.Unreachable("no connection within $timeout"))
    }

    /** Sends a liveness check to [to] over a new connection. */
    public fun testConnection(to: MemberAddress, timeout: Duration): ConnectionEvidence =
        request(to, BulkMessage.Check, timeout).mapBoth(
            success = { ConnectionEvidence.ANSWERED },
            failure = {
                when (it) {
                    PeerError.Refused -> ConnectionEvidence.REFUSED
                    PeerError.Silent -> ConnectionEvidence.ACCEPTED_BUT_SILENT
                    is PeerError.Rejected, is PeerError.Unreachable -> ConnectionEvidence.TIMED_OUT
                }
            },
        )

    /** Closes both sockets; once it has returned, connections to the port are refused. */
    override fun close() {
        // The JDK must not close a datagram channel that other threads still use.
        scope.cancel()
        awaitEnd(scope.coroutineContext.job)
        udp?.close()
        tcp?.close()
        // The port listens until the selector has dropped the channel.
        selector.close()
        selectorJob.children.forEach(::awaitEnd)
    }

    private fun awaitEnd(job: Job): Unit = runBlocking { withTimeoutOrNull(CLOSE_TIMEOUT_MILLIS) { job.join() } ?: Unit }

    private suspend fun exchangeFrames(socket: Socket, to: MemberAddress, frame: ByteArray): Result<BulkMessage, PeerError> {
        val output = socket.openWriteChannel()
        FrameStream.write(output, frame)
        countSentFrame(sent = frame.size)
        val answer = FrameStream.read(socket.openReadChannel()) ?: return Err(PeerError.Rejected(PeerRejection.OVERSIZED))
        counters.bytesReceived.add(answer.size.toLong())
        val opened = codec.decodeFrame(answer).get() ?: return Err(PeerError.Rejected(PeerRejection.MALFORMED))
        return if (opened.from == to.id) Ok(opened.message) else Err(PeerError.Rejected(PeerRejection.MISDIRECTED))
    }

    private suspend fun receiveDatagrams(socket: BoundDatagramSocket) {
        while (scope.isActive) {
            val datagram = try {
                socket.receive()
            } catch (e: IOException) {
                continue
            }
            val bytes = datagram.packet.readByteArray()
            counters.datagramsReceived.increment()
            counters.bytesReceived.add(bytes.size.toLong())
            if (!limiter.admits(datagram.address, bytes.size, System.nanoTime())) {
                counters.countRejection(PeerRejection.LIMITED)
                continue
            }
            codec.decodeDatagram(bytes).onSuccess {
                registerSender(datagram.address)
                handler.onDatagram(it.from, it.message)
            }
        }
    }

    /** Gives [address] an allowance of its own; one that loses it to a newer address gets it back with its next authentic datagram. */
    private fun registerSender(address: SocketAddress) {
        if (!authenticSenders.add(address)) return
        limiter.register(address)
        if (authenticSenders.size <= MAX_SENDERS) return
        val oldest = authenticSenders.first()
        authenticSenders.remove(oldest)
        limiter.unregister(oldest)
    }

    private suspend fun sendQueuedDatagrams(socket: BoundDatagramSocket) {
        for (next in outgoing) {
            val bytes = codec.encodeDatagram(next.to.id, next.message)
            if (bytes == null) {
                counters.countRejection(PeerRejection.OVERSIZED)
                continue
            }
            try {
                socket.send(Datagram(Buffer().apply { write(bytes) }, InetSocketAddress(next.to.host, next.to.port)))
                counters.datagramsSent.increment()
                counters.bytesSent.add(bytes.size.toLong())
            } catch (e: IOException) {
                counters.sendQueueDrops.increment()
            }
        }
    }

    private suspend fun acceptConnections(server: ServerSocket) {
        while (scope.isActive) {
            val socket = try {
                server.accept()
            } catch (e: IOException) {
                continue
            }
            if (!connectionPermits.tryAcquire()) {
                socket.close()
                continue
            }
            scope.launch {
                try {
                    withTimeoutOrNull(SERVE_TIMEOUT_MILLIS) { serveRequest(socket) }
                } catch (e: CancellationException) {
                    throw e
                } catch (e: Exception) {
                    // A failure on one connection must not stop the accept loop.
                    counters.connectionErrors.increment()
                } finally {
                    socket.close()
                    connectionPermits.release()
                }
            }
        }
    }

    private suspend fun serveRequest(socket: Socket) {
        val input = socket.openReadChannel()
        val output = socket.openWriteChannel()
        val frame = FrameStream.read(input)
        if (frame == null) {
            counters.countRejection(PeerRejection.OVERSIZED)
            return
        }
        counters.bytesReceived.add(frame.size.toLong())
        val request = codec.decodeFrame(frame).get() ?: return
        val answer = handler.onRequest(request.from, request.message)
        val bytes =
            codec.encodeFrame(request.from, answer)
                ?: codec.encodeFrame(request.from, BulkMessage.Declined("answer exceeds the frame limit"))
        if (bytes != null) {
            FrameStream.write(output, bytes)
            countSentFrame(sent = bytes.size)
        }
    }

    private fun countSentFrame(sent: Int) {
        counters.framesSent.increment()
        counters.bytesSent.add(sent.toLong())
    }

    private companion object {
        const val SEND_QUEUE_CAPACITY = 4_096
        const val MAX_BIND_ATTEMPTS = 16
        const val SERVE_TIMEOUT_MILLIS = 5_000L

        /** Limits the wait for a handler that is still at work when the sockets close. */
        const val CLOSE_TIMEOUT_MILLIS = 1_000L

        /** More than the 1,200 instances that a list of members is made for, since instances return at other addresses. */
        const val MAX_SENDERS = 4_096

        /** Limits the memory for received frames of up to 1 MB each. */
        const val MAX_CONNECTIONS = 32
    }
}
