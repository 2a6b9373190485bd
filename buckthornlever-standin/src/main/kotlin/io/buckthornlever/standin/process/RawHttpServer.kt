package io.buckthornlever.standin.process

import java.io.BufferedInputStream
import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/**
 * HTTP server on plain sockets, so that it can violate the protocol.
 *
 * @param respond writes the response to a request
 */
public class RawHttpServer(
    private val respond: (ReceivedRequest) -> Unit,
) : AutoCloseable {
    private val serverSocket = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = CopyOnWriteArrayList<Socket>()

    /** Requests in the order of their arrival. */
    public val received: MutableList<ReceivedRequest> = CopyOnWriteArrayList()

    /** Number of connections accepted. */
    public val connections: Int get() = sockets.size

    /** Base URL without a trailing slash. */
    public val url: String get() = "http://127.0.0.1:${serverSocket.localPort}"

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
        socket.tcpNoDelay = true
        val input = BufferedInputStream(socket.getInputStream())
        while (true) {
            val request = runCatching { readRequest(input, socket.getOutputStream()) }.getOrNull() ?: return
            received.add(request)
            if (runCatching { respond(request) }.isFailure) return
        }
    }

    private fun readRequest(
        input: InputStream,
        output: OutputStream,
    ): ReceivedRequest? {
        val requestLine = readLine(input) ?: return null
        val headers = LinkedHashMap<String, String>()
        while (true) {
            val text = readLine(input) ?: return null
            if (text.isEmpty()) break
            headers[text.substringBefore(':').lowercase()] = text.substringAfter(':').trim()
        }
        val body = input.readNBytes(headers["content-length"]?.toInt() ?: 0)
        return ReceivedRequest(requestLine, headers, body.decodeToString(), output)
    }

    private fun readLine(input: InputStream): String? {
        val text = StringBuilder()
        while (true) {
            val next = input.read()
            if (next < 0) return null
            if (next == '\n'.code) return text.toString().trimEnd('\r')
            text.append(next.toChar())
        }
    }

    /** A request and the connection on which it came. */
    public class ReceivedRequest internal constructor(
        public val requestLine: String,
        public val headers: Map<String, String>,
        public val body: String,
        private val output: OutputStream,
    ) {
        /** Writes [text] on the connection of this request. */
        public fun write(text: String) {
            output.write(text.encodeToByteArray())
        }

        /** Writes [text] like [write]; returns at once if the client has closed the connection. */
        public fun writeUnlessClosed(text: String) {
            try {
                write(text)
            } catch (_: IOException) {
                return
            }
        }

        /** Writes [text] in pieces that reach the client one by one, unless it has closed the connection. */
        public fun writeInPieces(text: String) {
            for (piece in text.chunked(PIECE_CHARACTERS)) {
                writeUnlessClosed(piece)
                TimeUnit.MILLISECONDS.sleep(PIECE_MILLIS)
            }
        }
    }

    public companion object {
        private const val BACKLOG = 50
        private const val PIECE_CHARACTERS = 16
        private const val PIECE_MILLIS = 5L

        /** Response with the status line of [status], the lines [headers] and [body]. */
        public fun response(
            status: String,
            body: String = "",
            vararg headers: String,
        ): String {
            val lines = listOf("HTTP/1.1 $status", *headers, "Content-Length: ${body.encodeToByteArray().size}")
            return lines.joinToString("\r\n", postfix = "\r\n\r\n") + body
        }
    }
}
