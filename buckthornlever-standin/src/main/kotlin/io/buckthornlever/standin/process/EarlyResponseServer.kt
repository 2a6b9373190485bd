package io.buckthornlever.standin.process

import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/**
 * Server that responds to each request once all but [unreadBytes] of its body are read, and then ends the connection.
 *
 * @param end how the connection ends
 * @param pauseMillis time between the response and the end, in which the client can read the response
 * @param respond response to a request with the given head
 */
public class EarlyResponseServer(
    private val end: End,
    private val unreadBytes: Int,
    private val pauseMillis: Long = 0,
    private val respond: (head: String) -> String,
) : AutoCloseable {
    /** End of a connection. */
    public enum class End {
        /** The connection is reset, which drops what the client still sends. */
        RESET,

        /** The server sends the end of its data and reads the rest of the request. */
        ORDERLY,
    }

    // A small window keeps the rest of a long body in the client.
    private val serverSocket =
        ServerSocket().apply {
            receiveBufferSize = RECEIVE_BUFFER_BYTES
            bind(InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
        }
    private val sockets = CopyOnWriteArrayList<Socket>()

    /** Port on the loopback address. */
    public val port: Int get() = serverSocket.localPort

    /** Base URL without a trailing slash. */
    public val url: String get() = "http://127.0.0.1:$port"

    /** Number of connections accepted. */
    public val connections: Int get() = sockets.size

    init {
        thread(isDaemon = true) {
            while (!serverSocket.isClosed) {
                val socket = runCatching { serverSocket.accept() }.getOrNull() ?: break
                sockets.add(socket)
                thread(isDaemon = true) { socket.use(::serve) }
            }
        }
    }

    override fun close() {
        serverSocket.close()
        sockets.forEach { it.close() }
    }

    private fun serve(socket: Socket) {
        try {
            val input = socket.getInputStream()
            val head = readHead(input)
            val length = Regex("(?i)content-length: *(\\d+)").find(head)?.groupValues?.get(1)?.toInt() ?: 0
            input.skipNBytes(maxOf(0, length - unreadBytes).toLong())
            socket.getOutputStream().write(respond(head).encodeToByteArray())
            TimeUnit.MILLISECONDS.sleep(pauseMillis)
            if (end == End.RESET) {
                socket.setSoLinger(true, 0)
            } else {
                socket.shutdownOutput()
                input.transferTo(OutputStream.nullOutputStream())
            }
        } catch (_: IOException) {
            return
        }
    }

    private fun readHead(input: InputStream): String {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val next = input.read()
            if (next < 0) throw IOException("no request")
            head.append(next.toChar())
        }
        return head.toString()
    }

    private companion object {
        const val RECEIVE_BUFFER_BYTES = 4 * 1_024
    }
}
