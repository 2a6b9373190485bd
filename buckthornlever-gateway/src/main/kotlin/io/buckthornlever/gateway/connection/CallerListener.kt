package io.buckthornlever.gateway.connection

import io.buckthornlever.api.process.Clock
import io.buckthornlever.core.serving.CallerRefusal
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBuf
import io.netty.buffer.UnpooledByteBufAllocator
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.RecvByteBufAllocator
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpResponseEncoder
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/**
 * Accepts connections of callers and serves their requests with a [CallerService]. When the connections of [limits] are used up, a
 * connection without a request makes place for a new one; if all have requests, new ones wait to be accepted.
 */
public class CallerListener(
    private val loop: EventLoop,
    private val service: CallerService,
    private val clock: Clock,
    private val limits: ListenerLimits,
) {
    private val connections = LinkedHashSet<CallerConnection>()
    private var serverChannel: Channel? = null
    private var isAccepting = true

    /** Number of open connections. */
    public val openConnections: Int get() = connections.size

    /** Listens at [address] and returns the bound port; throws an exception if the address cannot be used. */
    public fun listen(address: ServerAddress): Int {
        val channel =
            ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator(false))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, READ_UNTIL_EMPTY)
                .childHandler(Initializer())
                .bind(address.host, address.port)
                .sync()
                .channel()
        serverChannel = channel
        return (channel.localAddress() as InetSocketAddress).port
    }

    /** Closes the connections on which no request is being read or served. */
    public fun closeIdle(): Unit = connections.filter { it.isIdle }.forEach { it.close() }

    /** Lets all requests that are being served answer before the process ends. */
    public fun endExchanges(): Unit = connections.toList().forEach { it.endExchange() }

    /** Stops accepting connections and closes the open ones. */
    public fun close() {
        serverChannel?.close()
        connections.toList().forEach { it.close() }
    }

    private fun onClosed(connection: CallerConnection) {
        connections.remove(connection)
        if (!isAccepting && connections.size < limits.connections.limit) resumeAccepting()
    }

    /** Closes the connection that has been without a request for longest; returns false if there is none. */
    private fun closeLongestWithoutRequest(): Boolean {
        val longest = limits.connections.longestWithoutRequest(connections.map { it.holder }, clock.monotonicNanos()) ?: return false
        val connection = connections.first { it.holder === longest }
        limits.memory.refused(CallerRefusal.CONNECTION_IDLE)
        connections.remove(connection)
        connection.close()
        return true
    }

    private fun pauseAccepting() {
        if (!isAccepting) return
        isAccepting = false
        limits.memory.refused(CallerRefusal.CONNECTIONS_WAIT)
        serverChannel?.config()?.isAutoRead = false
        scheduleResume()
    }

    private fun scheduleResume() {
        loop.schedule({ makePlace() }, ACCEPT_RETRY_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun makePlace() {
        if (isAccepting) return
        while (connections.size >= limits.connections.limit) if (!closeLongestWithoutRequest()) return scheduleResume()
        resumeAccepting()
    }

    private fun resumeAccepting() {
        isAccepting = true
        serverChannel?.config()?.isAutoRead = true
    }

    private inner class Initializer : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            // Several connections are accepted in one turn, so a few more than the limit may be open.
            if (connections.size >= limits.connections.limit && !closeLongestWithoutRequest()) pauseAccepting()
            val connection = CallerConnection(service, clock, limits.memory, ::onClosed)
            val arrivals =
                object : ChannelDuplexHandler() {
                    // A decoder that has got no complete head asks for more even while reading is paused.
                    override fun read(context: ChannelHandlerContext) {
                        if (!connection.isPaused) context.read()
                    }

                    override fun channelRead(
                        context: ChannelHandlerContext,
                        message: Any,
                    ) {
                        val count = (message as? ByteBuf)?.readableBytes() ?: 0
                        connection.onBytesReceived()
                        context.fireChannelRead(message)
                        connection.onBytesDecoded(count)
                    }
                }
            channel.pipeline().addLast(arrivals, CallerDecoder(service.limits.maxHeaderBytes), HttpResponseEncoder(), connection)
            connections.add(connection)
        }
    }

    private companion object {
        /** Connections that may wait to be accepted; callers may reconnect all at once. */
        const val BACKLOG = 1_024

        /** Reads from one connection before others get their turn. */
        const val MAX_READS_PER_TURN = 16

        /** Time between two looks for a connection that makes place for a new one. */
        const val ACCEPT_RETRY_MILLIS = 50L

        /** Reads until no bytes are left, so that the end of a connection is seen together with the bytes sent before it. */
        val READ_UNTIL_EMPTY: RecvByteBufAllocator =
            AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(MAX_READS_PER_TURN)
    }
}
