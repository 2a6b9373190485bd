package io.buckthornlever.gateway.connection

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.buckthornlever.api.process.Clock
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.UnpooledByteBufAllocator
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import java.time.Duration

/**
 * Pool of outbound connections, by address. Idle connections are reused while the server keeps them open.
 *
 * @param maxOpen open connections beyond which the one that has been idle for longest is closed before another one is opened
 */
public class ConnectionPool(
    private val loop: EventLoop,
    private val clock: Clock,
    private val connectTimeout: Duration,
    private val maxOpen: Int = Int.MAX_VALUE,
) {
    private val idle = HashMap<ServerAddress, ArrayDeque<OutboundConnection>>()
    private var purgedAt = clock.monotonicNanos()
    private var openCount = 0

    /** Number of idle connections that the pool holds. */
    public val idleCount: Int get() = idle.values.sumOf { it.size }

    /** Number of connections opened since the start. */
    public var openedCount: Long = 0
        private set

    /**
     * Passes a pooled connection to [address] that has been idle for at most [maxIdle], or else a new one, to [done]. The error
     * is the reason why no connection could be opened; no byte of a request has been sent in that case.
     *
     * @param requestId id of the request; it gets no connection that excludes it
     */
    public fun acquire(
        address: ServerAddress,
        maxIdle: Duration,
        requestId: String? = null,
        done: (Result<OutboundConnection, String>) -> Unit,
    ) {
        val pooled = takeIdle(address, maxIdle, requestId)
        if (pooled != null) done(Ok(pooled)) else open(address, done)
    }

    /** Closes the idle connections to [address]. */
    public fun closeIdle(address: ServerAddress) {
        idle.remove(address)?.forEach { it.close() }
    }

    private fun takeIdle(
        address: ServerAddress,
        maxIdle: Duration,
        requestId: String?,
    ): OutboundConnection? {
        val idleConnections = idle[address] ?: return null
        // From the connection with the shortest idle time on. Older ones are left: another request may use them for longer than this one.
        val candidates = idleConnections.listIterator(idleConnections.size)
        var chosen: OutboundConnection? = null
        while (chosen == null && candidates.hasPrevious()) {
            val candidate = candidates.previous()
            if (!isUsable(candidate, maxIdle)) {
                candidates.remove()
                candidate.close()
            } else if (requestId == null || candidate.allows(requestId)) {
                candidates.remove()
                chosen = candidate
            }
        }
        if (idleConnections.isEmpty()) idle.remove(address)
        return chosen
    }

    private fun isUsable(
        connection: OutboundConnection,
        maxIdle: Duration,
    ): Boolean {
        val allowed = connection.keepAliveTimeout?.minus(KEEP_ALIVE_MARGIN) ?: maxIdle
        return connection.isOpen && clock.monotonicNanos() - connection.idleSinceNanos <= minOf(allowed, maxIdle).toNanos()
    }

    private fun open(
        address: ServerAddress,
        done: (Result<OutboundConnection, String>) -> Unit,
    ) {
        openedCount++
        if (++openCount > maxOpen) closeLongestIdle()
        val connection = OutboundConnection(address, ::release)
        Bootstrap()
            .group(loop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator(false))
            .option(ChannelOption.TCP_NODELAY, true)
            // Tells the server's orderly close, which may end a response, from any other end of the connection.
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeout.toMillis().toInt())
            .handler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) {
                        channel.pipeline().addLast(HttpRequestEncoder(), connection.decoder, connection)
                    }
                },
            ).connect(address.host, address.port)
            .addListener { result ->
                (result as ChannelFuture).channel().closeFuture().addListener { openCount-- }
                if (result.isSuccess) done(Ok(connection)) else done(Err("no connection to $address: ${result.cause()?.message}"))
            }
    }

    private fun closeLongestIdle() {
        val (address, connections) = idle.entries.minByOrNull { it.value.first().idleSinceNanos } ?: return
        connections.removeFirst().close()
        if (connections.isEmpty()) idle.remove(address)
    }

    private fun release(connection: OutboundConnection) {
        connection.idleSinceNanos = clock.monotonicNanos()
        val idleConnections = idle.getOrPut(connection.remoteAddress) { ArrayDeque() }
        idleConnections.addLast(connection)
        if (idleConnections.size > MAX_IDLE_PER_ADDRESS) idleConnections.removeFirst().close()
        if (connection.idleSinceNanos - purgedAt >= PURGE_INTERVAL.toNanos()) purge(connection.idleSinceNanos)
    }

    /** Drops connections that are closed or too old to be reused, also those to addresses that nobody asks for any more. */
    private fun purge(now: Long) {
        purgedAt = now
        for (connections in idle.values) {
            connections.removeIf { connection ->
                val isExpired = !connection.isOpen || now - connection.idleSinceNanos > MAX_IDLE_TIME.toNanos()
                if (isExpired) connection.close()
                isExpired
            }
        }
        idle.values.removeIf { it.isEmpty() }
    }

    private companion object {
        /** Idle connections kept per address; one instance seldom uses more at once. */
        const val MAX_IDLE_PER_ADDRESS = 16

        /** Longer than any connection is reused after. */
        val MAX_IDLE_TIME: Duration = Duration.ofSeconds(15)
        val PURGE_INTERVAL: Duration = Duration.ofSeconds(5)

        /** Subtracted from a server's keep-alive timeout, which may expire while a request is on its way. */
        val KEEP_ALIVE_MARGIN: Duration = Duration.ofMillis(800)
    }
}
