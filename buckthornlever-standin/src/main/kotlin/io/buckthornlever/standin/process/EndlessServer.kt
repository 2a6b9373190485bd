package io.buckthornlever.standin.process

import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/**
 * Server that answers every request with [prefix] and then [filler] over and over, until the caller closes the connection.
 */
public class EndlessServer(
    private val prefix: String,
    private val filler: String,
) : AutoCloseable {
    private val serverSocket = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = CopyOnWriteArrayList<Socket>()
    private val sent = AtomicLong()
    private val ended = AtomicInteger()

    /** Port on the loopback address. */
    public val port: Int get() = serverSocket.localPort

    /** Base URL without a trailing slash. */
    public val url: String get() = "http://127.0.0.1:$port"

    /** Bytes of all responses that were written to sockets. */
    public val sentBytes: Long get() = sent.get()

    /** Number of responses that ended because the caller had closed the connection. */
    public val closedByCaller: Int get() = ended.get()

    init {
        thread(isDaemon = true) {
            while (!serverSocket.isClosed) {
                val socket = runCatching { serverSocket.accept() }.getOrNull() ?: break
                sockets.add(socket)
                thread(isDaemon = true) { socket.use(::respond) }
            }
        }
    }

    override fun close() {
        serverSocket.close()
        sockets.forEach { it.close() }
    }

    private fun respond(socket: Socket) {
        try {
            skipHead(socket.getInputStream())
            val bytes = filler.encodeToByteArray()
            socket.getOutputStream().write(prefix.encodeToByteArray())
            while (true) {
                socket.getOutputStream().write(bytes)
                sent.addAndGet(bytes.size.toLong())
            }
        } catch (_: IOException) {
            ended.incrementAndGet()
        }
    }

    private fun skipHead(input: InputStream) {
        var breaks = 0
        while (breaks < 2) {
            when (input.read()) {
                -1 -> throw IOException("no request")
                '\n'.code -> breaks++
                '\r'.code -> Unit
                else -> breaks = 0
            }
        }
    }

    public companion object {
        private const val BACKLOG = 50
        private const val LINE = 1_000

        /** Server whose response heads have no end. */
        public fun inHead(): EndlessServer = EndlessServer("HTTP/1.1 200 OK\r\n", "X-Filler: ${"x".repeat(LINE)}\r\n")

        /** Server whose response bodies have no end and no line break. */
        public fun inBody(contentType: String = "application/json"): EndlessServer =
            EndlessServer("HTTP/1.1 200 OK\r\nContent-Type: $contentType\r\n\r\n", "x".repeat(LINE))
    }
}
