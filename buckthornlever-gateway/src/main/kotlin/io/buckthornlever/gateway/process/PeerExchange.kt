package io.buckthornlever.gateway.process

import io.buckthornlever.api.process.Clock
import io.buckthornlever.api.serving.InstanceRecord
import io.buckthornlever.core.serving.LiveInstances
import io.buckthornlever.gateway.connection.ServerAddress
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.buffer.UnpooledByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import java.net.InetSocketAddress
import java.time.Duration
import java.util.concurrent.TimeUnit

/**
 * Datagrams between instances. Each instance tells its state to the holder of the duty lease, which tells all of them what they
 * need of it, so that the traffic of one instance does not grow with their number; the holder's is bounded by a growing interval.
 */
@OptIn(ExperimentalSerializationApi::class)
internal class PeerExchange(
    private val loop: EventLoop,
    private val clock: Clock,
    private val self: String,
    private val node: PeerNode,
) {
    private val addresses = HashMap<String, InetSocketAddress>()
    private val records = HashMap<String, InstanceRecord>()
    private val instances = LiveInstances()
    private var overviewSender: String? = null
    private var overviewFencing = Long.MIN_VALUE
    private var overviewAt = Long.MIN_VALUE / 2
    private var overviewSentAt = Long.MIN_VALUE / 2
    private var told = false
    private var channel: Channel? = null

    /** Interval between two states of one instance. */
    private val interval: Duration get() = Duration.ofMillis(maxOf(MIN_INTERVAL_MILLIS, addresses.size * MILLIS_PER_INSTANCE))

    /** Names of the other instances that exist. */
    fun live(): Set<String> = instances.live(node.leads(), clock.monotonicNanos())

    fun start(address: ServerAddress) {
        val bound =
            Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel::class.java)
                .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator(false))
                .handler(Receiver())
                .bind(address.host, address.port)
        bound.addListener { if (it.isSuccess) channel = bound.channel() }
        loop.schedule({ tell() }, MIN_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** Records of the [live] instances. */
    fun members(): Set<InstanceRecord> = live().mapNotNullTo(HashSet(), records::get)

    /** Record of the listed instance [name]. */
    fun record(name: String): InstanceRecord? = records[name]

    fun listed(record: InstanceRecord) {
        if (record.name == self) return
        records[record.name] = record
        addresses[record.name] = InetSocketAddress(record.host, record.peerPort)
        instances.onHeard(record.name, clock.monotonicNanos())
    }

    fun unlisted(name: String) {
        addresses.remove(name)
        records.remove(name)
        instances.remove(name)
    }

    /** Sends [message] to the instance [name]; returns false when it is not known. */
    fun send(
        name: String,
        message: PeerMessage,
    ): Boolean {
        val address = addresses[name] ?: return false
        val open = channel ?: return false
        open.writeAndFlush(DatagramPacket(Unpooled.wrappedBuffer(encoded(message)), address))
        return true
    }

    /** Tells this instance's state, or as the holder of the lease the overview, at once. */
    fun tellNow() {
        if (node.leads()) return tellAll()
        val holder = overviewSender ?: return
        if (clock.monotonicNanos() - overviewAt <= HOLDER_GONE_NANOS) send(holder, node.state())
    }

    private fun tellAll() {
        val open = channel ?: return
        val now = clock.monotonicNanos()
        if (addresses.isEmpty() || now - overviewSentAt < MIN_INTERVAL_MILLIS * NANOS_PER_MILLI / 2) return
        overviewSentAt = now
        val bytes = encoded(node.overview(addresses.keys - live()))
        for (address in addresses.values) open.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), address))
        open.flush()
    }

    private fun tell() {
        tellNow()
        val longest = if (node.leads()) minOf(interval, LONGEST_OVERVIEW) else interval
        loop.schedule({ tell() }, longest.toMillis(), TimeUnit.MILLISECONDS)
    }

    private fun encoded(message: PeerMessage): ByteArray = Cbor.encodeToByteArray(PeerMessage.serializer(), message)

    private fun overview(overview: PeerMessage.Overview) {
        if (overview.fencing < overviewFencing) return
        val isNew = overview.sender != overviewSender || overview.fencing != overviewFencing
        overviewFencing = overview.fencing
        overviewSender = overview.sender
        overviewAt = clock.monotonicNanos()
        instances.updateSilent(overview.silent - self)
        node.heard(overview)
        // A new holder knows nothing yet.
        if (isNew || !told) send(overview.sender, node.state())
        told = true
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(
            context: ChannelHandlerContext,
            packet: DatagramPacket,
        ) {
            val message =
                try {
                    Cbor.decodeFromByteArray(PeerMessage.serializer(), ByteBufUtil.getBytes(packet.content()))
                } catch (_: SerializationException) {
                    // A datagram from another program or release says nothing.
                    return
                } catch (_: IllegalArgumentException) {
                    // The decoder reports some malformed lengths and numbers this way.
                    return
                }
            if (message.sender == self || message.sender !in addresses) return
            instances.onHeard(message.sender, clock.monotonicNanos())
            if (message is PeerMessage.Overview) overview(message) else node.heard(message)
        }
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L

        /** Interval in which the holder of the lease sees demand and usage soon enough to act on them. */
        const val MIN_INTERVAL_MILLIS = 250L

        /** Keeps the holder at 200 states a second with many instances. */
        const val MILLIS_PER_INSTANCE = 5L

        /** Shorter than the time for which an instance believes that another one holds the lease. */
        val LONGEST_OVERVIEW: Duration = Duration.ofMillis(700)

        /** Silence of the holder after which nobody is told, until a holder is heard again. */
        const val HOLDER_GONE_NANOS = 5_000_000_000L
    }
}
