package io.buckthornlever.http.connection

import java.io.FilterInputStream
import java.io.FilterOutputStream
import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.Socket
import java.net.SocketException
import javax.net.SocketFactory

/**
 * Creates sockets that do not report the end of the data after a failed write.
 *
 * The system reports a reset only once. If a write of the request gets it, a later read looks like an orderly close, and OkHttp, which
 * reads the response after such a write, would take a response without length for complete.
 */
internal object ResetAwareSocketFactory : SocketFactory() {
    override fun createSocket(): Socket = ResetAwareSocket()

    override fun createSocket(
        host: String,
        port: Int,
    ): Socket = throw UnsupportedOperationException("only unconnected sockets")

    override fun createSocket(
        host: String,
        port: Int,
        localHost: InetAddress,
        localPort: Int,
    ): Socket = throw UnsupportedOperationException("only unconnected sockets")

    override fun createSocket(
        host: InetAddress,
        port: Int,
    ): Socket = throw UnsupportedOperationException("only unconnected sockets")

    override fun createSocket(
        address: InetAddress,
        port: Int,
        localAddress: InetAddress,
        localPort: Int,
    ): Socket = throw UnsupportedOperationException("only unconnected sockets")

    private class ResetAwareSocket : Socket() {
        @Volatile
        private var hasFailedWrite = false

        override fun getInputStream(): InputStream =
            object : FilterInputStream(super.getInputStream()) {
                override fun read(): Int = checkEnd(super.read())

                override fun read(
                    bytes: ByteArray,
                    offset: Int,
                    length: Int,
                ): Int = checkEnd(super.read(bytes, offset, length))
            }

        override fun getOutputStream(): OutputStream =
            object : FilterOutputStream(super.getOutputStream()) {
                override fun write(value: Int) = recordFailure { out.write(value) }

                override fun write(
                    bytes: ByteArray,
                    offset: Int,
                    length: Int,
                ) = recordFailure { out.write(bytes, offset, length) }
            }

        private fun checkEnd(result: Int): Int {
            if (result < 0 && hasFailedWrite) throw SocketException("connection broke while the request was written")
            return result
        }

        private inline fun recordFailure(write: () -> Unit) {
            try {
                write()
            } catch (e: IOException) {
                hasFailedWrite = true
                throw e
            }
        }
    }
}
