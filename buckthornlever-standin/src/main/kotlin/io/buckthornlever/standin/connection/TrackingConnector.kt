package io.buckthornlever.standin.connection

import org.eclipse.jetty.io.EndPoint
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.server.ServerConnector
import java.net.Socket
import java.nio.channels.SocketChannel
import java.util.concurrent.ConcurrentHashMap

/**
 * Connector that knows every accepted socket. A socket accepted while the connector closes has no end point yet;
 * without this it would stay open for good and its client would wait instead of seeing the end of the process.
 */
internal class TrackingConnector(
    server: Server,
    http: HttpConfiguration,
) : ServerConnector(server, 1, 1, HttpConnectionFactory(http)) {
    private val sockets: MutableSet<Socket> = ConcurrentHashMap.newKeySet()

    @Volatile
    private var aborted = false

    /** Stops listening and closes every connection without an answer. */
    fun abort() {
        aborted = true
        close()
        connectedEndPoints.toList().forEach { it.close() }
        sockets.forEach { it.close() }
    }

    override fun configure(socket: Socket) {
        super.configure(socket)
        sockets.add(socket)
        if (aborted) socket.close()
    }

    override fun onEndPointClosed(endPoint: EndPoint) {
        super.onEndPointClosed(endPoint)
        (endPoint.transport as? SocketChannel)?.let { sockets.remove(it.socket()) }
    }
}
