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

/** Accepts connections of callers. */
public class CallerListener(
    private val loop: EventLoop,
    private val service: CallerService,
    private val clock: Clock,
) {
    private val connections = LinkedHashSet<CallerConnection>()
    private var listening: Channel? = null

    /** Open connections. */
    public val openConnections: Int get() = connections.size

    /** Listens at [address]; throws an exception when the address cannot be used. */
    public fun listen(address: ServerAddress): Int {
        val channel =
            ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator(false))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, READ_TO_THE_END)
                .childHandler(Initializer())
                .bind(address.host, address.port)
                .sync()
                .channel()
        listening = channel
        return (channel.localAddress() as InetSocketAddress).port
    }

    /** Closes the connections on which no request is read or served. */
    public fun closeIdle(): Unit = connections.filter { it.isIdle }.forEach { it.close() }

    /** Stops to accept and closes all connections. */
    public fun close() {
        listening?.close()
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
                        connection.bytesArrived()
                        context.fireChannelRead(message)
                    }
                }
            channel.pipeline().addLast(arrivals, HttpRequestDecoder(config), HttpResponseEncoder(), connection)
        }
    }

    private companion object {
        /** Connections that may wait to be accepted, for callers that come back all at once. */
        const val BACKLOG = 1_024

        /** Reads of one connection before others have their turn. */
        const val READS_AT_ONCE = 16

        /** Reads on until nothing is left, so that the end of a connection is seen together with what was sent before it. */
        val READ_TO_THE_END: RecvByteBufAllocator =
            AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(READS_AT_ONCE)
    }
}
