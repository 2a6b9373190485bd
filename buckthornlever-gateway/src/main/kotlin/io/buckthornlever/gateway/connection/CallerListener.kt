package io.buckthornlever.gateway.connection

import io.buckthornlever.api.process.Clock
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.UnpooledByteBufAllocator
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.RecvByteBufAllocator
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponseEncoder
import java.net.InetSocketAddress

/** Accepts connections of callers and serves their requests with a [CallerService]. */
public class CallerListener(
    private val loop: EventLoop,
    private val service: CallerService,
    private val clock: Clock,
) {
    private val connections = LinkedHashSet<CallerConnection>()
    private var serverChannel: Channel? = null

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

    private inner class Initializer : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            val connection = CallerConnection(service, clock) { connections.remove(it) }
            connections.add(connection)
            val limits = service.limits
            val config = HttpDecoderConfig().setMaxHeaderSize(limits.maxHeaderBytes).setMaxInitialLineLength(limits.maxHeaderBytes)
            val arrivals =
                object : ChannelInboundHandlerAdapter() {
                    override fun channelRead(
                        context: ChannelHandlerContext,
                        message: Any,
                    ) {
                        connection.onBytesReceived()
                        context.fireChannelRead(message)
                    }
                }
            channel.pipeline().addLast(arrivals, HttpRequestDecoder(config), HttpResponseEncoder(), connection)
        }
    }

    private companion object {
        /** Connections that may wait to be accepted; callers may reconnect all at once. */
        const val BACKLOG = 1_024

        /** Reads from one connection before others get their turn. */
        const val MAX_READS_PER_TURN = 16

        /** Reads until no bytes are left, so that the end of a connection is seen together with the bytes sent before it. */
        val READ_UNTIL_EMPTY: RecvByteBufAllocator =
            AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(MAX_READS_PER_TURN)
    }
}
